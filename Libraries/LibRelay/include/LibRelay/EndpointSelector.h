#pragma once

#include "LibCore/Deadline.h"
#include "LibRelay/CallerRequest.h"
#include "LibRelay/EndpointDirectory.h"
#include <map>
#include <memory>
#include <set>

namespace Relay {

struct SelectionQuery {
    std::string service;
    bool isEngine { false };
    // Identifies the prompt's session part; 0: no affinity.
    uint64_t affinity { 0 };
    // Endpoints that this request was sent to already.
    std::set<std::string> excluded;
};

// Chooses endpoints from what this daemon has seen of them.
class EndpointSelector {
public:
    EndpointSelector(const EndpointDirectory&, std::string failureDomain);

    // The endpoint for a request, or null when the service has none that may be tried.
    const Endpoint* choose(const SelectionQuery&, Core::SteadyClock::time_point now) const;

    void recordStart(const std::string& endpoint, Core::SteadyClock::time_point now);
    // Bytes arrived from the endpoint.
    void recordBytes(const std::string& endpoint, Core::SteadyClock::time_point now);
    enum class End {
        Success,
        Failure,
        Neutral,
    };
    void recordEnd(const std::string& endpoint, End, Core::SteadyClock::time_point now);
    // The endpoint refused a request because it is full.
    void recordOverload(const std::string& endpoint, Core::SteadyClock::time_point now);
    void forget(const std::string& endpoint);

    size_t inFlight(const std::string& endpoint) const;
    // Requests are in flight and nothing has arrived for longer than the limit.
    bool isUnresponsive(const std::string& endpoint, Core::SteadyClock::time_point now) const;

private:
    struct EndpointState {
        size_t inFlight { 0 };
        // Share of recent requests that failed, decaying with time.
        double failureRate { 0 };
        Core::SteadyClock::time_point failureRateUpdatedAt {};
        Core::SteadyClock::time_point lastBytesAt {};
        Core::SteadyClock::time_point overloadedUntil {};
        Core::SteadyClock::time_point suspectUntil {};
    };

    // Lower is better.
    double cost(const Endpoint&, Core::SteadyClock::time_point now) const;
    bool isHealthy(const Endpoint&, Core::SteadyClock::time_point now) const;
    const EndpointState* find(const std::string& endpoint) const;
    static double failureRateAt(const EndpointState&, Core::SteadyClock::time_point now);

    const EndpointDirectory& m_directory;
    std::string m_failureDomain;
    std::map<std::string, EndpointState> m_states;
};

}
