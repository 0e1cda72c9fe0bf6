#pragma once

#include "LibCore/Deadline.h"
#include "LibRelay/CallerRequest.h"
#include "LibRelay/EndpointDirectory.h"
#include "LibRelay/SizeClasses.h"
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace Relay {

struct SelectionQuery {
    std::string service;
    bool isEngine { false };
    // Identifies the prompt's session part; 0: no affinity.
    uint64_t affinity { 0 };
    // The route, whose prompts are alike in size.
    std::string route;
    // Endpoints that this request was sent to already.
    std::set<std::string> excluded;
};

// Chooses endpoints from what this daemon has seen of them.
class EndpointSelector {
public:
    EndpointSelector(const EndpointDirectory&, std::string failureDomain);

    // The endpoint for a request, or null when the service has none that may be tried.
    const Endpoint* choose(const SelectionQuery&, Core::SteadyClock::time_point now) const;

    // A request of this size came by the route.
    void recordWork(const std::string& service, const std::string& route, Tokens work);
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
    void recordFull(const std::string& endpoint, Core::SteadyClock::time_point now);
    void forget(const std::string& endpoint);

    size_t inFlight(const std::string& endpoint) const;
    // Requests are in flight and nothing has arrived for longer than the limit.
    bool isSilent(const std::string& endpoint, Core::SteadyClock::time_point now) const;

private:
    struct Observed {
        size_t inFlight { 0 };
        // Share of recent requests that failed, decaying with time.
        double failures { 0 };
        Core::SteadyClock::time_point failuresAt {};
        Core::SteadyClock::time_point lastBytesAt {};
        Core::SteadyClock::time_point fullUntil {};
        Core::SteadyClock::time_point suspectUntil {};
    };

    // Lower is better.
    double cost(const Endpoint&, Core::SteadyClock::time_point now) const;
    bool isHealthy(const Endpoint&, Core::SteadyClock::time_point now) const;
    // Those of the candidates that serve requests of this size.
    std::vector<const Endpoint*> ofSize(const std::vector<const Endpoint*>& candidates, const SelectionQuery&) const;
    // The first in rendezvous order that is not overloaded, or null.
    const Endpoint* chooseByAffinity(std::vector<const Endpoint*> candidates, uint64_t affinity) const;
    const Observed* find(const std::string& endpoint) const;
    static double failuresAt(const Observed&, Core::SteadyClock::time_point now);

    const EndpointDirectory& m_directory;
    std::string m_failureDomain;
    std::map<std::string, Observed> m_observed;
    // By service.
    std::map<std::string, SizeClasses> m_sizes;
};

}
