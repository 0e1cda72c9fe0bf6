#include "ReplayRouter.h"

#include "LibCore/Hash.h"

namespace Commands {

static constexpr const char* model = "m";

ReplayRouter::ReplayRouter(Measure::EventQueue& events, const ReplaySettings& settings, std::vector<ReplayEndpoint>& endpoints, uint64_t number)
    : m_events(events)
    , m_settings(settings)
    , m_endpoints(endpoints)
    , m_table(Routing::EjectionSettings {})
    , m_waiting(Routing::WaitingListSettings {})
    , m_next(Core::hash64("router " + std::to_string(number), settings.seed) % endpoints.size())
{
    std::map<std::string, Intent::Endpoint> intended;
    for (size_t endpoint = 0; endpoint < endpoints.size(); ++endpoint) {
        Intent::Endpoint record;
        record.name = nameOf(endpoint);
        record.models = { model };
        record.slots = static_cast<int>(settings.slots);
        intended[record.name] = record;
    }
    m_table.setEndpoints(intended);
    m_table.setDaemonCount(settings.knownRouters);
}

// The fixed width makes names sort by number, so the n-th candidate is the n-th endpoint.
std::string ReplayRouter::nameOf(size_t endpoint)
{
    return "engine-" + std::to_string(100000 + endpoint);
}

void ReplayRouter::handleArrival(ReplayRequest& request)
{
    request.prefixHash = Core::hash64("prefix " + std::to_string(request.prefix));
    request.prefixShare = m_popularity.record(request.prefixHash);
    if (m_waiting.size() == 0 && dispatch(request))
        return;
    m_held[request.number] = &request;
    shed(m_waiting.add({ request.number, 0, request.deadline }, m_events.now()));
}

void ReplayRouter::recordLoadReport(size_t endpoint, int64_t load, Measure::Time at)
{
    m_table.recordLoadReport(nameOf(endpoint), load, at);
    dispatchWaiting();
}

bool ReplayRouter::dispatch(ReplayRequest& request)
{
    std::optional<size_t> endpoint = choose(request);
    if (!endpoint)
        return false;
    submit(request, *endpoint);
    return true;
}

std::optional<size_t> ReplayRouter::choose(const ReplayRequest& request)
{
    if (m_settings.policy == ReplayPolicy::RoundRobin)
        return m_next++ % m_endpoints.size();
    if (m_settings.policy == ReplayPolicy::LeastRequests)
        return endpointWithFewestOwnRequests(request);
    std::vector<Routing::Candidate> candidates = m_table.candidates(model, m_events.now());
    Routing::ChooserSettings settings { static_cast<double>(m_settings.loadBoundPercent) / 100,
        static_cast<size_t>(m_settings.smallestSpread), static_cast<double>(m_settings.spreadFactor) };
    uint64_t requestSeed = Core::hash64("request " + std::to_string(request.number), m_settings.seed);
    std::optional<Routing::Choice> choice = Routing::chooseEndpoint(candidates, { request.prefixHash, request.prefixShare, requestSeed }, settings);
    if (!choice)
        return std::nullopt;
    const Routing::Candidate& chosen = candidates[choice->index];
    if (chosen.load * 100 >= chosen.weight * static_cast<double>(m_settings.holdPercent))
        return std::nullopt;
    return choice->index;
}

size_t ReplayRouter::endpointWithFewestOwnRequests(const ReplayRequest& request) const
{
    // A pseudo-random start avoids a bias among endpoints with equal counts.
    size_t start = Core::hash64("request " + std::to_string(request.number), m_settings.seed) % m_endpoints.size();
    size_t best = start;
    for (size_t step = 1; step < m_endpoints.size(); ++step) {
        size_t endpoint = (start + step) % m_endpoints.size();
        if (m_table.inFlight(nameOf(endpoint)) < m_table.inFlight(nameOf(best)))
            best = endpoint;
    }
    return best;
}

void ReplayRouter::submit(ReplayRequest& request, size_t endpoint)
{
    Routing::RequestTicket ticket = m_table.recordStart(nameOf(endpoint), m_events.now());
    m_endpoints[endpoint].submit(request, [this, ticket] {
        m_table.recordEnd(ticket, Routing::RequestResult::Success, m_events.now());
        // Deferred, so that the endpoint first fills the free slot from its own queue.
        m_events.scheduleAt(m_events.now(), [this] { dispatchWaiting(); });
    });
}

void ReplayRouter::dispatchWaiting()
{
    shed(m_waiting.removeInfeasible(m_events.now()));
    std::optional<Routing::Waiter> first = m_waiting.first();
    while (first && dispatch(*m_held.at(first->id))) {
        m_held.erase(first->id);
        m_waiting.admitFirst(m_events.now());
        first = m_waiting.first();
    }
}

void ReplayRouter::shed(const std::vector<Routing::Waiter>& waiters)
{
    for (const Routing::Waiter& waiter : waiters) {
        m_held.at(waiter.id)->isShed = true;
        m_held.erase(waiter.id);
    }
}

}
