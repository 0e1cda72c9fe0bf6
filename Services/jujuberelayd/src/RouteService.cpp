#include "RouteService.h"

#include "LibCore/Hash.h"
#include "LibCore/Random.h"
#include <algorithm>
#include <nlohmann/json.hpp>

using Json = nlohmann::json;
using Core::SteadyClock;

static const char* const loadsType = "loads";
static constexpr std::chrono::milliseconds loadPollInterval(1000);
static constexpr std::chrono::milliseconds loadTimeout(800);
static constexpr int64_t maxReportAgeMs = 60'000;
// Limit of this daemon's requests in flight at an endpoint, as a multiple of its slots. Requests above the limit wait in the
// admission queue by priority.
static constexpr double maxInFlightPerSlot = 2;

RouteService::RouteService(const boost::asio::any_io_executor& executor, std::string selfHost, Peer::Network& network,
    Endpoint::EngineClient& engines, Hooks hooks)
    : m_executor(executor)
    , m_selfHost(std::move(selfHost))
    , m_network(network)
    , m_engines(engines)
    , m_hooks(std::move(hooks))
    , m_table(Routing::EjectionSettings {})
    , m_queue(executor, Routing::WaitingListSettings {})
    , m_retries(Routing::RetryBudgetSettings {})
{
}

void RouteService::stateChanged(const Intent::FleetState& state)
{
    m_table.setEndpoints(state.endpoints);
    m_queue.capacityChanged();
}

// Returns the endpoints allowed by routing rules. Rules for the workspace take precedence over rules for all workspaces.
std::set<std::string> RouteService::allowedEndpoints(const Caller::RouteQuery& query) const
{
    std::shared_ptr<const Intent::FleetState> state = m_hooks.state();
    std::set<std::string> workspaceEndpoints;
    std::set<std::string> sharedEndpoints;
    for (const std::pair<const std::string, Intent::RoutingRule>& item : state->routingRules) {
        const Intent::RoutingRule& rule = item.second;
        if (rule.model != query.model)
            continue;
        if (rule.workspace == query.workspace)
            workspaceEndpoints.insert(rule.endpoints.begin(), rule.endpoints.end());
        if (rule.workspace == "*")
            sharedEndpoints.insert(rule.endpoints.begin(), rule.endpoints.end());
    }
    return workspaceEndpoints.empty() ? sharedEndpoints : workspaceEndpoints;
}

std::vector<Routing::Candidate> RouteService::serviceCandidates(const Intent::Service& service) const
{
    std::shared_ptr<const Intent::FleetState> state = m_hooks.state();
    std::vector<Routing::Candidate> found;
    SteadyClock::time_point now = SteadyClock::now();
    for (const std::string& name : service.endpoints) {
        std::map<std::string, Intent::Endpoint>::const_iterator endpoint = state->endpoints.find(name);
        if (endpoint == state->endpoints.end() || m_table.isEjected(name, now))
            continue;
        Routing::Candidate candidate;
        candidate.name = endpoint->first;
        candidate.nameHash = Core::hash64(name);
        candidate.load = static_cast<double>(m_table.inFlight(name));
        candidate.weight = endpoint->second.slots;
        found.push_back(candidate);
    }
    return found;
}

std::vector<Routing::Candidate> RouteService::candidates(const Caller::RouteQuery& query) const
{
    std::vector<Routing::Candidate> found;
    if (query.service.empty()) {
        found = m_table.candidates(query.model, SteadyClock::now());
        std::set<std::string> allowed = allowedEndpoints(query);
        if (!allowed.empty())
            std::erase_if(found, [&allowed](const Routing::Candidate& candidate) { return !allowed.contains(std::string(candidate.name)); });
    } else {
        std::shared_ptr<const Intent::FleetState> state = m_hooks.state();
        std::map<std::string, Intent::Service>::const_iterator service = state->services.find(query.service);
        if (service != state->services.end())
            found = serviceCandidates(service->second);
    }
    std::erase_if(found, [&query](const Routing::Candidate& candidate) { return query.excluded.contains(std::string(candidate.name)); });
    return found;
}

std::optional<Caller::Route> RouteService::reserveEndpoint(const Caller::RouteQuery& query)
{
    std::vector<Routing::Candidate> available = candidates(query);
    // Only requests of this daemon count. The estimated load multiplies them by the number of daemons that share the endpoint,
    // which made requests wait for the next report although the endpoint had free capacity. An endpoint that is full queues
    // requests by priority or refuses them.
    std::erase_if(available, [this](const Routing::Candidate& candidate) {
        return static_cast<double>(m_table.inFlight(std::string(candidate.name))) >= candidate.weight * maxInFlightPerSlot;
    });
    Routing::ChoiceQuery choice;
    choice.prefixHash = Routing::prefixHashOf(query.prefix);
    choice.seed = Core::randomGenerator()();
    std::optional<Routing::Choice> chosen = Routing::chooseEndpoint(available, choice, {});
    if (!chosen)
        return std::nullopt;
    std::string name(available[chosen->index].name);
    std::shared_ptr<const Intent::FleetState> state = m_hooks.state();
    std::map<std::string, Intent::Endpoint>::const_iterator endpoint = state->endpoints.find(name);
    if (endpoint == state->endpoints.end())
        return std::nullopt;
    Routing::RequestTicket ticket = m_table.recordStart(name, SteadyClock::now());
    m_activeTickets[ticket.number] = ticket;
    return Caller::Route { name, endpoint->second.address, ticket.number };
}

Core::Task<std::optional<Caller::Route>> RouteService::choose(Caller::RouteQuery query, Core::Deadline deadline, Core::Reason& reason)
{
    const std::string& target = query.service.empty() ? query.model : query.service;
    SteadyClock::time_point now = SteadyClock::now();
    if (query.excluded.empty()) {
        m_retries.recordRequest(now);
    } else if (!m_retries.takeRetry(now)) {
        reason = { Core::FailureKind::Refused, "choose endpoint", target, "the retry budget is exhausted" };
        co_return std::nullopt;
    }
    if (candidates(query).empty()) {
        reason = { Core::FailureKind::Refused, "choose endpoint", target, "no endpoint available" };
        co_return std::nullopt;
    }
    std::optional<Caller::Route> route;
    bool isAdmitted = co_await m_queue.admit(
        query.priority, deadline,
        [this, &query, &route] {
            route = reserveEndpoint(query);
            return route.has_value();
        },
        reason);
    if (!isAdmitted) {
        // The queue refuses requests on overload, whereas FailureKind::Refused means here that no endpoint serves the query.
        reason.kind = Core::FailureKind::TimedOut;
        co_return std::nullopt;
    }
    co_return route;
}

void RouteService::finishRequest(const Caller::Route& route, Caller::RouteResult result)
{
    std::map<uint64_t, Routing::RequestTicket>::iterator ticket = m_activeTickets.find(route.ticket);
    if (ticket == m_activeTickets.end())
        return;
    Routing::RequestResult end = Routing::RequestResult::Neutral;
    if (result.succeeded)
        end = Routing::RequestResult::Success;
    else if (result.isEndpointFault)
        end = Routing::RequestResult::Failure;
    m_table.recordEnd(ticket->second, end, SteadyClock::now());
    m_activeTickets.erase(ticket);
    m_queue.capacityChanged();
}

bool RouteService::isLoadReader(const std::string& endpoint, const std::vector<Membership::Member>& members) const
{
    std::vector<Membership::Member> order = Membership::rendezvousOrder("load-" + endpoint, members);
    return order.empty() || order.front().host == m_selfHost;
}

Core::Task<void> RouteService::run()
{
    while (!m_isStopped) {
        std::shared_ptr<const Intent::FleetState> state = m_hooks.state();
        std::vector<Membership::Member> members = m_hooks.domainMembers();
        m_table.setDaemonCount(static_cast<int64_t>(m_hooks.daemonCount()));
        if (state) {
            for (const std::pair<const std::string, Intent::Endpoint>& item : state->endpoints) {
                if (item.second.kind == Intent::EndpointKind::Engine && isLoadReader(item.first, members))
                    Core::spawn(m_executor, "read load", readLoad(item.second));
            }
        }
        co_await Core::sleepUntil(Core::Deadline::after(loadPollInterval));
        shareLoads();
    }
}

Core::Task<void> RouteService::readLoad(Intent::Endpoint endpoint)
{
    Core::Reason ignored;
    std::optional<Endpoint::LoadReport> report = co_await m_engines.load(endpoint.address, Core::Deadline::after(loadTimeout), ignored);
    if (!report)
        co_return;
    SteadyClock::time_point at = SteadyClock::now() - std::chrono::milliseconds(report->ageMs);
    m_table.recordLoadReport(endpoint.name, report->running + report->queued, at);
    m_unsharedReports[endpoint.name] = *report;
    m_queue.capacityChanged();
}

void RouteService::shareLoads()
{
    if (m_unsharedReports.empty())
        return;
    Json reports = Json::array();
    for (const std::pair<const std::string, Endpoint::LoadReport>& report : m_unsharedReports)
        reports.push_back({ report.first, report.second.running + report.second.queued, report.second.ageMs });
    m_unsharedReports.clear();
    std::vector<uint8_t> bytes = Json::to_cbor(reports);
    for (const Membership::Member& member : m_hooks.domainMembers()) {
        if (member.host != m_selfHost)
            m_network.notify(member.peerAddress, loadsType, std::string(bytes.begin(), bytes.end()));
    }
}

void RouteService::serve()
{
    m_network.onNotice(loadsType, [this](const Peer::Identity&, std::string body) {
        Json reports = Json::from_cbor(body, true, false);
        if (!reports.is_array())
            return;
        for (const Json& report : reports) {
            bool isValid = report.is_array() && report.size() == 3 && report[0].is_string() && report[1].is_number_integer() && report[2].is_number_integer();
            if (!isValid)
                continue;
            int64_t ageMs = std::clamp<int64_t>(report[2].get<int64_t>(), 0, maxReportAgeMs);
            SteadyClock::time_point at = SteadyClock::now() - std::chrono::milliseconds(ageMs);
            m_table.recordLoadReport(report[0].get<std::string>(), report[1].get<int64_t>(), at);
        }
        m_queue.capacityChanged();
    });
}
