#pragma once

#include "LibRouting/EndpointChooser.h"
#include "LibRouting/EndpointTable.h"
#include "LibRouting/PrefixPopularity.h"
#include "LibRouting/WaitingList.h"
#include "ReplayEndpoint.h"
#include <map>
#include <string>

namespace Commands {

// The simulated routing of one daemon. It knows the load of endpoints only from delayed reports and its own requests.
class ReplayRouter {
public:
    ReplayRouter(Measure::EventQueue&, const ReplaySettings&, std::vector<ReplayEndpoint>&, uint64_t number);

    void handleArrival(ReplayRequest&);
    // Records a load report of an endpoint, sampled at the given time.
    void recordLoadReport(size_t endpoint, int64_t load, Measure::Time at);

    static std::string nameOf(size_t endpoint);

private:
    // Dispatches according to the policy. Returns false if the request must be held.
    bool dispatch(ReplayRequest&);
    std::optional<size_t> choose(const ReplayRequest&);
    size_t endpointWithFewestOwnRequests(const ReplayRequest&) const;
    void submit(ReplayRequest&, size_t endpoint);
    void dispatchWaiting();
    void shed(const std::vector<Routing::Waiter>&);

    Measure::EventQueue& m_events;
    const ReplaySettings& m_settings;
    std::vector<ReplayEndpoint>& m_endpoints;
    Routing::EndpointTable m_table;
    Routing::PrefixPopularity m_popularity;
    Routing::WaitingList m_waiting;
    std::map<uint64_t, ReplayRequest*> m_held;
    size_t m_next;
};

}
