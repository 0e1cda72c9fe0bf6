#pragma once

#include "LibRouting/EndpointChooser.h"
#include "LibRouting/EndpointTable.h"
#include "LibRouting/PrefixPopularity.h"
#include "LibRouting/WaitingList.h"
#include "ReplayEndpoint.h"
#include <map>
#include <string>

namespace Commands {

// One daemon's routing in a replay. It knows the endpoints' load only from late reports and from its own requests.
class ReplayRouter {
public:
    ReplayRouter(ReplayEventQueue&, const RoutingReplaySettings&, std::vector<ReplayEndpoint>&, uint64_t number);

    void receive(ReplayRequest&);
    // A load report of an endpoint that was true at a time.
    void report(size_t endpoint, int64_t load, ReplayEventQueue::TimePoint at);

    static std::string nameOf(size_t endpoint);

private:
    // Dispatches by the policy; false when the request must be held.
    bool dispatch(ReplayRequest&);
    std::optional<size_t> choose(const ReplayRequest&);
    size_t fewestOwnRequests(const ReplayRequest&) const;
    void submit(ReplayRequest&, size_t endpoint);
    void dispatchWaiting();
    void shed(const std::vector<Routing::Waiter>&);

    ReplayEventQueue& m_events;
    const RoutingReplaySettings& m_settings;
    std::vector<ReplayEndpoint>& m_endpoints;
    Routing::EndpointTable m_table;
    Routing::PrefixPopularity m_popularity;
    Routing::WaitingList m_waiting;
    std::map<uint64_t, ReplayRequest*> m_held;
    size_t m_next;
};

}
