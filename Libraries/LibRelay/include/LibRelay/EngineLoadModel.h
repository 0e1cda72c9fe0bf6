#pragma once

#include "LibCore/Deadline.h"
#include "LibRelay/Endpoint.h"
#include "LibRelay/FirstEventFit.h"
#include <algorithm>
#include <array>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Relay {

// The prompt of a request to an engine.
struct EnginePrompt {
    // Hash of the prompt up to its last part that may be shared with other requests; 0: nothing is shared.
    uint64_t sharedKey { 0 };
    Tokens tokens { 0 };
    // How many of the tokens may be shared.
    Tokens sharedTokens { 0 };
    // Time to the first event that the route aims at, in milliseconds; 0: none.
    double targetMs { 0 };
    bool operator==(const EnginePrompt&) const = default;
};

// Predicts the time to the first event of a request at an engine from what this daemon has observed itself: its own requests there,
// how late their first events were and how fast their streams run. Time is passed in, and nothing is sent or stored.
class EngineLoadModel {
public:
    using TimePoint = Core::SteadyClock::time_point;
    using RunId = uint64_t;

    // Records that a request was sent. With isStream, its first event is expected in the time that is predicted now.
    RunId recordSent(const Endpoint&, const EnginePrompt&, bool isStream, TimePoint now);
    // Records that events of a stream arrived together.
    void recordEvents(RunId, size_t events, TimePoint now);
    // Records the end of a request, whatever its outcome. Has no effect for an unknown one.
    void recordEnd(RunId, TimePoint now);
    // Records that the engine refused a request because of its load.
    void recordRefusal(const std::string& endpoint, TimePoint now);
    // Records that the engine is expected to keep a shared part, since all daemons send the part's requests there.
    void assumeKept(const std::string& endpoint, uint64_t sharedKey, TimePoint now) { rememberPart(m_engines[endpoint], sharedKey, now); }
    // The engine's lateness in milliseconds if it is large and has not been returned for some seconds.
    std::optional<double> takeLateNotice(const std::string& endpoint, TimePoint now);
    // Called when the endpoint is no longer registered.
    void forget(const std::string& endpoint);
    // Number of daemons that send requests to the same engines.
    void setDaemons(size_t daemons) { m_daemons = std::max<size_t>(1, daemons); }

    // Time to the first event in milliseconds. isKept: the engine is expected to keep the shared part.
    double predictMs(const Endpoint&, const EnginePrompt&, bool isKept, TimePoint now) const;
    // Whether this daemon has sent the shared part to the engine lately.
    bool hasSent(const std::string& endpoint, uint64_t sharedKey, TimePoint now) const;
    // What reading the shared part takes, in milliseconds.
    double readingMs(const std::string& service, Tokens) const;
    // Own requests with the shared part that are in progress on average; 0 while too few were seen to tell.
    double concurrencyOf(uint64_t sharedKey) const;
    // Own requests with the prompt's shared part that an engine reads on average, if it keeps that part.
    double readingConcurrencyOf(const std::string& service, const EnginePrompt&) const;
    // Own requests to the service's engines that are in progress.
    size_t runs(const std::string& service) const;
    size_t daemons() const { return m_daemons; }
    // How much later than predicted the engine's first events are at present, in milliseconds.
    double latenessMs(const std::string& endpoint, TimePoint now) const;

private:
    struct Run {
        std::string endpoint;
        std::string service;
        uint64_t sharedKey { 0 };
        // Tokens that the engine was expected to read before the first event, including those of earlier own requests.
        Tokens tokensAhead { 0 };
        // Without what is known of the engine's lateness.
        double expectedMs { 0 };
        bool isStream { false };
        bool hasEvents { false };
        TimePoint sentAt {};
        TimePoint lastEventAt {};
    };

    // A deviation that fades if it is not observed again.
    struct Deviation {
        double value { 0 };
        TimePoint observedAt {};

        double at(TimePoint now, double halfLifeMs) const;
        void add(double observed, double weight, TimePoint now, double halfLifeMs);
    };

    struct SentPart {
        uint64_t key { 0 };
        TimePoint sentAt {};
    };

    static constexpr size_t rememberedParts = 16;
    struct Engine {
        // Requests without a first event so far.
        std::vector<RunId> waiting;
        size_t runs { 0 };
        Deviation spell;
        Deviation trend;
        // Time for a token relative to the service's mean, less 1.
        Deviation pace;
        std::array<SentPart, rememberedParts> sentParts {};
        size_t nextPart { 0 };
        std::optional<TimePoint> noticedAt;
    };

    struct ServiceState {
        FirstEventFit fit;
        // Mean time between two events of a stream; 0: not observed.
        double stepMs { 0 };
        size_t runs { 0 };
    };

    struct PartState {
        size_t inProgress { 0 };
        size_t seen { 0 };
        double meanInProgress { 0 };
        // Mean time from a request to its end; 0: not observed.
        double meanDurationMs { 0 };
    };

    const Engine* find(const std::string& endpoint) const;
    const FirstEventFit& fitOf(const std::string& service) const;
    // Tokens of own requests that the engine still has to read.
    Tokens waitingTokens(const Engine&, const FirstEventFit&, TimePoint now) const;
    static double paceOf(const Engine*, TimePoint now);
    double latenessOf(const Engine&, TimePoint now) const;
    void rememberPart(Engine&, uint64_t sharedKey, TimePoint now);
    void countPart(uint64_t sharedKey);
    void recordLateness(Engine&, double lateMs, TimePoint now);
    void recordFirstEvent(Run&, TimePoint now);

    size_t m_daemons { 1 };
    RunId m_lastRun { 0 };
    std::unordered_map<RunId, Run> m_runs;
    std::unordered_map<std::string, Engine> m_engines;
    std::unordered_map<std::string, ServiceState> m_services;
    std::unordered_map<uint64_t, PartState> m_parts;
};

}
