#pragma once

#include "LibHTTP/Client.h"
#include "LibHTTP/ResponseWriter.h"
#include "LibRelay/AnswerConfirmation.h"
#include "LibRelay/BrittleServices.h"
#include "LibRelay/BudgetManager.h"
#include "LibRelay/CallerRequest.h"
#include "LibRelay/CrashCheck.h"
#include "LibRelay/EndpointSelector.h"
#include "LibRelay/PermitService.h"
#include "LibRelay/PromptQuarantine.h"
#include "LibRelay/StreamOriginStore.h"
#include "LibRouting/RetryBudget.h"
#include "LibTelemetry/Metrics.h"

namespace Relay {

class RequestExecution;

// Error response to a caller.
struct Refusal {
    unsigned status { 503 };
    std::string code;
    std::string message;
    // When the caller should retry.
    std::optional<int64_t> retryAfterMs;
};

struct HandlerHooks {
    // The current configuration; null before the first one has been read.
    std::function<std::shared_ptr<const Configuration>()> configuration;
    // The refusal for all requests while the daemon is unable to serve any; empty otherwise.
    std::function<std::optional<Refusal>()> unservable;
    // The time that a message and its answer take on this host's link now. May be unset.
    std::function<std::chrono::milliseconds()> linkDelay {};
    // Reads the configuration again after a request with an unknown route or key. False if the store did not answer.
    std::function<Core::Task<bool>()> refreshConfiguration;
    // Time since the store last answered. May be unset.
    std::function<std::chrono::milliseconds()> storeSilence {};
    // While the daemon stops, the time at which requests in progress are interrupted: a request that may last longer is refused.
    // Empty otherwise. May be unset.
    std::function<std::optional<Core::Deadline>()> servesUntil {};
    // Called when the endpoint reported that it is not the registered one.
    std::function<void(const std::string& endpoint)> rejectEndpoint;
    // Called for each answer in which an endpoint's process says that it is leaving, with the id of the request that brought it.
    // May be unset.
    std::function<void(const Endpoint&, const std::string& request)> endpointLeaves {};
    // Finds where a stream that a caller takes up began; see StreamOriginStore::find(). May be unset: all streams continue anywhere.
    std::function<Core::Task<std::optional<StreamOriginStore::Found>>(std::optional<uint64_t> stream, std::string service, Core::Deadline, Core::Reason&)> findOrigin {};
    // Called when a stream that may be taken up begins, and when it ends. May be unset.
    std::function<void(uint64_t stream, const StreamOrigin&, Core::Deadline)> streamBegan {};
    std::function<void(uint64_t stream, bool isComplete)> streamEnded {};
    // Whether this host reaches no endpoint of the service. May be unset.
    std::function<bool(const std::string& service)> isCutOff {};
    // Another daemon's address for callers, through which a request can be passed on, other than those that were asked already. Empty if
    // there is none. Set if isCutOff is.
    std::function<std::optional<Core::Address>(const std::set<Core::Address>& asked)> relayPeer {};
    // Called after a request was passed on, with whether the daemon takes requests. Set if isCutOff is.
    std::function<void(const Core::Address&, bool takesRequests)> relayEnded {};
    // Takes a place at a brittle endpoint, and returns it with what the endpoint has named if it rejected the request; see PlaceService.
    // May be unset: brittle endpoints are treated like others.
    std::function<Core::Task<std::optional<uint64_t>>(const Endpoint&, Core::Deadline)> acquirePlace {};
    std::function<void(const std::string& endpoint, uint64_t place, std::optional<double> maxRejections)> returnPlace {};
    // Asks for a permit to send one request to an endpoint with this limit on requests a second.
    std::function<Core::Task<PermitService::Permit>(std::string endpoint, double perSecond)> acquirePermit;
};

struct HandlerSettings {
    // Retry budget of one service for all daemons together in 10 s: a percentage of its requests plus a fixed number.
    int retryPercent { 15 };
    int64_t retryExtra { 25 };
    // Timeout for connecting to an endpoint.
    int64_t connectTimeoutMs { 400 };
    // A request that could not be sent after this many connects failed is refused, so that its caller can try another daemon in time.
    int maxFailedConnects { 3 };
    // A resumable stream without an event for this long is checked: if there is evidence that it will not continue at its
    // endpoint, it is moved to another one.
    int64_t streamIdleTimeoutMs { 1'200 };
    // The same before the first event, which is longer because the endpoint processes the prompt.
    int64_t firstEventTimeoutMs { 2'500 };
    // Timeout of a status request to an engine.
    int64_t statusTimeoutMs { 400 };
    // Timeout of the check whether an engine whose connection broke has ended. A retry waits for it.
    int64_t crashCheckTimeoutMs { 250 };
    // An engine that still runs this long after an answer has survived it.
    int64_t survivalTimeMs { 1'000 };
    // Requests to engines are sent with an urgency.
    bool sendsUrgency { false };
};

// Serves callers' requests: authorizes them, holds their tokens, sends them to endpoints and forwards the responses.
class RequestHandler {
public:
    RequestHandler(const boost::asio::any_io_executor&, WireCodec, HandlerHooks, HandlerSettings, std::shared_ptr<HTTP::Client>,
        EndpointSelector&, BudgetManager&, PromptQuarantine&, Telemetry::Metrics&);

    Core::Task<void> handle(HTTP::Request, HTTP::ResponseWriter&);

private:
    friend class RequestExecution;

    Routing::RetryBudget& retryBudget(const std::string& service);
    // Acts on what an answer says about the endpoint itself, whether or not it answers the request.
    void recordAnswer(const Endpoint&, const std::string& request, const ResponseMetadata&);
    // Records whether the endpoint is brittle.
    void recordBrittleness(const Endpoint&, const std::string& request, const ResponseMetadata&);
    // Records the limit on requests a second in the answer to a request that was sent at sentAt, or that the answer names none.
    void recordLimit(const Endpoint&, const std::string& request, const ResponseMetadata&, Core::SteadyClock::time_point sentAt);

    boost::asio::any_io_executor m_executor;
    WireCodec m_codec;
    HandlerHooks m_hooks;
    HandlerSettings m_settings;
    std::shared_ptr<HTTP::Client> m_client;
    EndpointSelector& m_selector;
    BudgetManager& m_budgets;
    PromptQuarantine& m_quarantine;
    CrashCheck m_crashCheck;
    AnswerConfirmation m_confirmation;
    Telemetry::Metrics& m_metrics;
    std::map<std::string, Routing::RetryBudget> m_retryBudgets;
    BrittleServices m_brittleServices;
};

}
