#pragma once

#include "LibCore/Deadline.h"
#include "LibRelay/CallerRequest.h"
#include "LibRelay/ColdEndpoints.h"
#include "LibRelay/EndpointDirectory.h"
#include "LibRelay/EndpointLimits.h"
#include "LibRelay/EngineChooser.h"
#include "LibRelay/EvacuationSet.h"
#include "LibRelay/SoftwareVersions.h"
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace Relay {

struct SelectionQuery {
    std::string service;
    bool isEngine { false };
    // Hash of the shared prompt part by which requests are kept on the same endpoint; 0: no affinity.
    uint64_t affinity { 0 };
    // Endpoints to which this request has already been sent.
    std::set<std::string> excluded;
    // Only endpoints without a limit on requests a second.
    bool isUnlimitedOnly { false };
    // Empty: the endpoint is not chosen by the predicted time to the first event.
    std::optional<EnginePrompt> prompt {};
    // Only endpoints of this software version, which began the stream.
    std::optional<std::string> softwareVersion {};
    // The answer may begin a stream that the caller takes up later, possibly at another daemon.
    bool mayBeTakenUp { false };
};

// Selects endpoints by the load and failures that this daemon has observed.
class EndpointSelector {
public:
    EndpointSelector(const EndpointDirectory&, std::string failureDomain, ColdAllowance = {});

    // The endpoint for a request, or null if the service has none left to try.
    const Endpoint* choose(const SelectionQuery&, Core::SteadyClock::time_point now) const;
    // Whether choose() would return an endpoint without recent failures or refusals.
    bool hasHealthy(const SelectionQuery&, Core::SteadyClock::time_point now) const;
    // Whether the endpoint's process takes further requests, as far as this daemon knows.
    bool takesRequests(const Endpoint& endpoint, Core::SteadyClock::time_point now) const { return !m_directory.isLeaving(endpoint) && !isPaused(endpoint, now) && !isEvacuated(endpoint); }
    // Whether nothing may be sent to the endpoint because of an evacuation.
    bool isEvacuated(const Endpoint& endpoint) const { return m_evacuations->isEvacuated(endpoint.failureDomain); }
    // Registered endpoints of the service that are evacuated.
    size_t evacuatedEndpoints(const std::string& service) const;
    // Without a set, no endpoint is evacuated. The set must outlive this object.
    void setEvacuations(const EvacuationSet& evacuations) { m_evacuations = &evacuations; }
    // Without them, endpoints of all versions begin streams. The versions must outlive this object.
    void setSoftwareVersions(const SoftwareVersions& versions) { m_softwareVersions = &versions; }
    // Whether the service has an endpoint of this software version that is not leaving.
    bool isServed(const std::string& service, const std::string& softwareVersion) const;
    // Whether the entry's process is still the registered one, as far as this daemon knows, or no longer registered at all.
    bool isSameProcess(const Endpoint&) const;
    bool isPaused(const Endpoint&, Core::SteadyClock::time_point now) const;
    // Whether the endpoint is registered and its process is not leaving, so that an end of the process is not planned.
    bool isExpectedToRun(const Endpoint& endpoint) const { return isRegistered(endpoint.id) && !m_directory.isLeaving(endpoint); }
    // When the first endpoint of the service, and of the software version if one is given, takes requests again after a pause or a refused permit. Empty if one takes requests
    // now, or if none will, as when all are evacuated.
    std::optional<Core::SteadyClock::time_point> takesRequestsAt(const std::string& service, Core::SteadyClock::time_point now, const std::optional<std::string>& softwareVersion = {}) const;
    // When the first endpoint that the query may find takes requests, or a permit for it can be asked for. Empty if there is none.
    std::optional<Core::SteadyClock::time_point> nextPermitAt(const SelectionQuery&, Core::SteadyClock::time_point now) const;

    // From here on, engines are chosen by the predicted time to the first event.
    void predictEngineLoad();
    // Null unless engines are chosen by prediction.
    EngineLoadModel* engineLoad() { return m_engineLoad.get(); }
    const EngineChooser* engineChooser() const { return m_engineChooser.get(); }

    void recordStart(const std::string& endpoint, Core::SteadyClock::time_point now);
    // Records that data arrived from the endpoint.
    void recordBytes(const std::string& endpoint, Core::SteadyClock::time_point now);
    enum class End {
        Success,
        Failure,
        Neutral,
    };
    void recordEnd(const std::string& endpoint, End, Core::SteadyClock::time_point now);
    // Records that the endpoint refused a request because it is overloaded.
    void recordOverload(const std::string& endpoint, Core::SteadyClock::time_point now);
    // Records that the endpoint's process wants no request before the given time. A pause is never shortened, and it outlasts the
    // registration; a process with a later start time has none. Returns false if the pause was known.
    bool recordPause(const Endpoint&, Core::SteadyClock::time_point until, Core::SteadyClock::time_point now);
    // Records that no permit for the endpoint is to be had before the given time.
    void recordPermitRefusal(const std::string& endpoint, Core::SteadyClock::time_point until);
    // The limits that endpoints have named.
    EndpointLimits& limits() { return m_limits; }
    const EndpointLimits& limits() const { return m_limits; }
    // The endpoints that are cold.
    ColdEndpoints& cold() { return m_cold; }
    const ColdEndpoints& cold() const { return m_cold; }
    // Requests a second from all daemons together for which permits are to be had: the limit that the endpoint has named, or that of a
    // cold endpoint if that is lower. Empty if there is none.
    std::optional<double> requestLimit(const Endpoint& endpoint, Core::SteadyClock::time_point now) const { return requestLimit(endpoint, m_cold.stateOf(endpoint, now)); }
    // Called when the endpoint is no longer registered.
    void forget(const std::string& endpoint);

    size_t inFlight(const std::string& endpoint) const;
    // When data last arrived from the endpoint, or when the first of its current requests was sent.
    Core::SteadyClock::time_point lastBytesAt(const std::string& endpoint) const;
    bool isRegistered(const std::string& endpoint) const { return m_directory.find(endpoint) != nullptr; }
    // Whether requests are in flight and no data has arrived for longer than the limit.
    bool isUnresponsive(const std::string& endpoint, Core::SteadyClock::time_point now) const;

private:
    struct EndpointState {
        size_t inFlight { 0 };
        // Exponentially weighted share of recent requests that failed.
        double failureRate { 0 };
        Core::SteadyClock::time_point failureRateUpdatedAt {};
        Core::SteadyClock::time_point lastBytesAt {};
        Core::SteadyClock::time_point overloadedUntil {};
        Core::SteadyClock::time_point suspectUntil {};
        Core::SteadyClock::time_point noPermitUntil {};
    };

    struct Pause {
        // Start time of the process that asked for it; 0: unknown.
        int64_t processStartMs { 0 };
        Core::SteadyClock::time_point until {};
    };

    // Whether the endpoint is a candidate apart from a refused permit.
    bool isEligible(const Endpoint&, const SelectionQuery&, const ColdState&, Core::SteadyClock::time_point now) const;
    bool isCandidate(const Endpoint&, const SelectionQuery&, const ColdState&, Core::SteadyClock::time_point now) const;
    std::optional<double> requestLimit(const Endpoint&, const ColdState&) const;
    // Whether a stream that begins at the endpoint could be taken for one of another software version by a daemon that does not know of its
    // version yet. Such an endpoint is used only if there is no other.
    bool isVersionUnrecorded(const Endpoint& endpoint, const SelectionQuery& query) const { return query.mayBeTakenUp && m_softwareVersions && !m_softwareVersions->mayBegin(endpoint); }
    // When a permit for the endpoint can be asked for after a refusal.
    Core::SteadyClock::time_point noPermitUntil(const Endpoint&, const ColdState&) const;
    // The engine that is predicted to be soonest, or null if none of those that were looked at is a healthy candidate.
    const Endpoint* chooseEngine(const SelectionQuery&, Core::SteadyClock::time_point now) const;
    const Endpoint* chooseByAffinity(const std::vector<const Endpoint*>& candidates, uint64_t affinity) const;
    const Endpoint* chooseByCost(const std::vector<const Endpoint*>& candidates, Core::SteadyClock::time_point now) const;
    // Lower is better.
    double cost(const Endpoint&, Core::SteadyClock::time_point now) const;
    bool isHealthy(const Endpoint&, Core::SteadyClock::time_point now) const;
    const EndpointState* find(const std::string& endpoint) const;
    static double failureRateAt(const EndpointState&, Core::SteadyClock::time_point now);

    const EndpointDirectory& m_directory;
    std::string m_failureDomain;
    const EvacuationSet* m_evacuations;
    const SoftwareVersions* m_softwareVersions { nullptr };
    std::map<std::string, EndpointState> m_states;
    // By endpoint id; hashed, since each choice looks up all candidates.
    std::unordered_map<std::string, Pause> m_pauses;
    EndpointLimits m_limits;
    ColdEndpoints m_cold;
    std::unique_ptr<EngineLoadModel> m_engineLoad;
    std::unique_ptr<EngineChooser> m_engineChooser;
};

}
