#pragma once

#include "LibCaller/Hooks.h"
#include "LibEndpoint/EngineClient.h"
#include "LibMembership/Member.h"
#include "LibPeer/Network.h"
#include "LibRouting/AdmissionQueue.h"
#include "LibRouting/EndpointChooser.h"
#include "LibRouting/EndpointTable.h"
#include "LibRouting/RetryBudget.h"
#include <map>
#include <set>

// Chooses endpoints for requests and polls their load. In each failure domain, one daemon polls the load of an endpoint and
// shares it with the others.
class RouteService {
public:
    struct Hooks {
        std::function<std::shared_ptr<const Intent::FleetState>()> state;
        // Live daemons of this failure domain, including this one.
        std::function<std::vector<Membership::Member>()> domainMembers;
        // Number of live daemons that share the endpoints.
        std::function<size_t()> daemonCount;
    };

    RouteService(const boost::asio::any_io_executor&, std::string selfHost, Peer::Network&, Endpoint::EngineClient&, Hooks);

    // Registers the handler of the notice "loads".
    void serve();

    void stateChanged(const Intent::FleetState&);

    // Waits for an endpoint with free capacity. Fails with FailureKind::Refused if no endpoint serves the query or the retry
    // budget is exhausted.
    Core::Task<std::optional<Caller::Route>> choose(Caller::RouteQuery, Core::Deadline, Core::Reason&);
    // Records the result of a request that was sent to the chosen endpoint, or was not sent after all.
    void finishRequest(const Caller::Route&, Caller::RouteResult);

    // Polls load reports until stop() is called.
    Core::Task<void> run();
    void stop() { m_isStopped = true; }

    size_t waiting() const { return m_queue.waiting(); }
    // Number of requests of this daemon in flight at all endpoints.
    size_t inFlight() const { return m_activeTickets.size(); }

private:
    std::vector<Routing::Candidate> candidates(const Caller::RouteQuery&) const;
    std::vector<Routing::Candidate> serviceCandidates(const Intent::Service&) const;
    std::set<std::string> allowedEndpoints(const Caller::RouteQuery&) const;
    std::optional<Caller::Route> reserveEndpoint(const Caller::RouteQuery&);
    bool isLoadReader(const std::string& endpoint, const std::vector<Membership::Member>&) const;
    Core::Task<void> readLoad(Intent::Endpoint);
    void shareLoads();

    boost::asio::any_io_executor m_executor;
    std::string m_selfHost;
    Peer::Network& m_network;
    Endpoint::EngineClient& m_engines;
    Hooks m_hooks;
    Routing::EndpointTable m_table;
    Routing::AdmissionQueue m_queue;
    Routing::RetryBudget m_retries;
    std::map<uint64_t, Routing::RequestTicket> m_activeTickets;
    // Load reports that have not been shared with the failure domain yet.
    std::map<std::string, Endpoint::LoadReport> m_unsharedReports;
    bool m_isStopped { false };
};
