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

// Chooses endpoints for requests and reads their load. One daemon of each failure domain reads an endpoint's load and
// passes it on to the others of its failure domain.
class RouteService {
public:
    struct Hooks {
        std::function<std::shared_ptr<const Intent::FleetState>()> state;
        // Live daemons of the own failure domain, this one included.
        std::function<std::vector<Membership::Member>()> domainMembers;
        // Number of live daemons, which share the endpoints.
        std::function<size_t()> daemonCount;
    };

    RouteService(const boost::asio::any_io_executor&, std::string selfHost, Peer::Network&, Endpoint::EngineClient&, Hooks);

    // Registers the notice "loads".
    void serve();

    void stateChanged(const Intent::FleetState&);

    // Waits for an endpoint with room. Refused: none serves the query, or the retry budget is used up.
    Core::Task<std::optional<Caller::Route>> choose(Caller::RouteQuery, Core::Deadline, Core::Reason&);
    void done(const Caller::Route&, Caller::RouteResult);

    // Reads load reports until stop.
    Core::Task<void> run();
    void stop() { m_isStopped = true; }

    size_t waiting() const { return m_queue.waiting(); }
    // Requests of this daemon in flight at all endpoints.
    size_t inFlight() const { return m_tickets.size(); }

private:
    std::vector<Routing::Candidate> candidates(const Caller::RouteQuery&) const;
    std::vector<Routing::Candidate> serviceCandidates(const Intent::Service&) const;
    std::set<std::string> allowedEndpoints(const Caller::RouteQuery&) const;
    std::optional<Caller::Route> takeEndpoint(const Caller::RouteQuery&);
    bool isReader(const std::string& endpoint, const std::vector<Membership::Member>&) const;
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
    std::map<uint64_t, Routing::RequestTicket> m_tickets;
    // Reports read here that have not been passed on.
    std::map<std::string, Endpoint::LoadReport> m_unshared;
    bool m_isStopped { false };
};
