#pragma once

#include "LibRelay/EventStream.h"
#include "LibRelay/RequestHandler.h"
#include "StreamWatch.h"

namespace Relay {

// Executes one caller's request, from decoding to the final response.
class RequestExecution {
public:
    RequestExecution(RequestHandler&, HTTP::ResponseWriter&);
    ~RequestExecution();
    RequestExecution(const RequestExecution&) = delete;
    RequestExecution& operator=(const RequestExecution&) = delete;

    Core::Task<void> serve(HTTP::Request);

private:
    // Result of one attempt at an endpoint.
    enum class Outcome {
        // The final response has been sent or the caller has disconnected.
        Finished,
        // The endpoint has not run the request and will not run it.
        NotRun,
        // The request may have run.
        Unknown,
    };

    Core::Task<std::optional<Refusal>> authorize();
    // Chooses the service. Refuses the request if none of its endpoints takes requests.
    std::optional<Refusal> findService();
    // Finds where a stream that the caller takes up began. Refuses the request if that is not known.
    Core::Task<std::optional<Refusal>> findOrigin();
    Core::Task<std::optional<Refusal>> holdTokens();
    Core::Task<void> dispatch();
    bool isCutOffFrom(const std::string& service) const;
    // Passes the request, which has not been sent to an endpoint, on through another daemon; see PeerRelay.cpp.
    Core::Task<void> relayToPeer();
    // Finished unless the peer has not run the request. The peer's refusal is stored if it has sent one.
    Core::Task<Outcome> relayTo(Core::Address peer, std::optional<HTTP::Response>& refusal);
    Core::Task<void> forwardFromPeer(const Core::Address& peer, HTTP::ResponseStream&);
    Core::Task<void> forwardStreamFromPeer(HTTP::ResponseStream&, const std::string& detail);
    Refusal cutOffRefusal(const std::string& detail) const;
    std::string selectService() const;
    // Whether the answer is a stream that the caller may take up after a loss of its connection.
    bool mayBeTakenUp() const { return m_route.isStream && m_route.isResumable; }
    bool isTakeUp() const { return mayBeTakenUp() && (m_request.resumes || m_request.lastEvent.value_or(0) > 0); }
    // Binds the stream to the version of the endpoint that sends its first event. False if the endpoint is not what it was when it was
    // chosen.
    bool bindOrigin(const Endpoint&);
    uint64_t affinity() const;
    // The urgency with which the request is sent to an engine now.
    int urgency() const;
    SelectionQuery selectionQuery(const std::string& service) const;
    // Whether the request may be sent to the endpoint now, if that has named a limit or is cold.
    Core::Task<bool> acquirePermit(const Endpoint&);
    // Whether the endpoint is cold and the current attempt has no permit, or one that is too old: the endpoint became cold, or connecting
    // to it took long, after the permit was asked for.
    bool lacksPermit(const Endpoint&) const;
    // Waits for the next permit at any endpoint that is left; false if the wait would be too long.
    Core::Task<bool> waitForPermit();
    // Takes a place at the endpoint if its service is brittle; false if there is none.
    Core::Task<bool> acquirePlace(const Endpoint&);
    // Returns the place of the attempt that has ended, if it has one.
    void returnPlace(bool wasRejected);
    // A request waits for permits up to this time.
    Core::Deadline permitDeadline() const;
    Core::Task<Outcome> attempt(Endpoint, HTTP::ConnectionUse);
    // Watches the attempt if the stream could be moved to another endpoint.
    void startWatch(const Endpoint&);
    void endWatch();
    // Record the attempt in the prediction of the engines' load, if they are chosen by it; see EngineRequests.cpp.
    EnginePrompt enginePrompt() const;
    // The prompt if the engine is chosen by the predicted time to the first event.
    std::optional<EnginePrompt> predictedPrompt() const;
    void startEngineRun(const Endpoint&);
    void recordEngineEvents(const Endpoint&, size_t events);
    void endEngineRun();
    // Why the watch ended the last attempt, if it did.
    std::optional<std::string> lossReason() const;
    Core::Task<Outcome> handleResponse(const Endpoint&, std::unique_ptr<HTTP::ResponseStream>);
    Core::Task<Outcome> forwardWholeResponse(const Endpoint&, HTTP::ResponseStream&, bool isSealed);
    Core::Task<Outcome> forwardStream(const Endpoint&, HTTP::ResponseStream&, bool isSealed);
    // Whether the stream ends with its connection and its engine has ended too, so that the last events may be missing.
    Core::Task<bool> hasEngineEndedWith(const Endpoint&, const HTTP::ResponseStream&);
    Core::Task<bool> forwardEvent(const StreamEvent&, const HTTP::ResponseStream&);
    bool canRetry(Outcome) const;
    // Sends the request once more to the endpoint that has closed the reused connection, most likely without having seen it.
    Core::Task<Outcome> repeatOnFreshConnection(const Endpoint&, Routing::RetryBudget&);
    // The refusal of a request with a quarantined prompt part.
    std::optional<Refusal> quarantineRefusal();
    // Whether a request that has crashed an engine is suspected to crash the next one too.
    bool mayCrashAnotherEngine();
    // After a failed attempt: records a crash if the engine has ended.
    Core::Task<void> examineBreak(const Endpoint&);
    // When a request that needs the store can be retried with some prospect.
    int64_t retryAfterStoreOutageMs() const;
    // Refuses a request that no endpoint took, until the first one ends its pause if that is known.
    Refusal refusalWithoutEndpoint(std::string message) const;
    Core::Task<void> refuse(Refusal);
    Core::Task<void> failRequest();
    Tokens usedTokens() const;
    Core::Task<bool> holdReceivedTokens();
    void settleTokens();
    void logCompletion(const char* outcome, const std::string& detail);
    int64_t elapsedMs() const;
    // How long the request was being read.
    int64_t readMs() const;

    RequestHandler& m_handler;
    HTTP::ResponseWriter& m_writer;
    // When the request had been read.
    Core::SteadyClock::time_point m_receivedAt { Core::SteadyClock::now() };
    // When its first byte was read. The caller's time and the route's time-out have been running since then.
    Core::SteadyClock::time_point m_startedAt;
    std::shared_ptr<const Configuration> m_configuration;
    CallerRequest m_request;
    Route m_route;
    std::string m_service;
    // Where the stream began, once that is known; it continues only there.
    std::optional<StreamOrigin> m_origin;
    // The stream began with this request, and may be taken up.
    bool m_hasBegunStream { false };
    bool m_isComplete { false };
    std::optional<Workspace> m_workspace;
    Core::Deadline m_deadline { Core::Deadline::never() };
    Tokens m_heldTokens { 0 };
    bool m_isHolding { false };
    // The endpoint has sent more than the budget covers.
    bool m_isBeyondBudget { false };
    Tokens m_tokensPerEvent { 1 };
    bool m_isEngine { false };

    std::set<std::string> m_excluded;
    // Number of permits that were asked for since the last wait for one.
    int m_permitRequests { 0 };
    // An issuer did not answer in time. The request asks no further one, since each may take as long.
    bool m_hasPermitTimedOut { false };
    struct Place {
        std::string endpoint;
        uint64_t number { 0 };
    };
    // The place of the current attempt at a brittle endpoint.
    std::optional<Place> m_place;
    // Brittle endpoints that had no place.
    int m_refusedPlaces { 0 };
    // The endpoint of the last attempt rejected the request for want of room.
    bool m_wasRejected { false };
    // Where the permit of the current attempt came from; for logs.
    std::string m_permitSource;
    Core::SteadyClock::time_point m_permitAskedAt {};
    // Addresses to which the request was sent. Another endpoint may take over an address.
    std::set<Core::Address> m_addresses;
    // Number of endpoints to which no connection could be opened.
    int m_failedConnects { 0 };
    // Number of endpoints to which the request was sent.
    int m_sends { 0 };
    // Number of sends after which the request may have run.
    int m_possibleRuns { 0 };
    uint64_t m_events { 0 };
    std::optional<uint64_t> m_lastEvent;
    // Media type of the stream that was started.
    std::string m_mediaType;
    std::shared_ptr<HTTP::Cancellation> m_cancellation;
    // The current attempt; null if it is not watched.
    std::shared_ptr<WatchedStream> m_watched;
    // The last attempt failed on a reused connection before any byte of a response arrived.
    bool m_wasConnectionStale { false };
    // The last attempt was not sent, because its endpoint had begun to refuse all requests while it was connected.
    bool m_wasWithheld { false };
    // The connection of the current attempt broke after the request had been sent on it.
    bool m_hasConnectionBroken { false };
    // An engine has ended while it worked on this request.
    bool m_hasCrashedEngine { false };
    std::shared_ptr<bool> m_isCallerGone { std::make_shared<bool>(false) };
    std::optional<int64_t> m_firstByteMs;
    std::string m_lastFailure;
    bool m_wasOverloaded { false };
    bool m_isLogged { false };
    // The current attempt in the prediction of the engines' load.
    std::optional<EngineLoadModel::RunId> m_engineRun;
    bool m_isFirstEventMeasured { false };
};

}
