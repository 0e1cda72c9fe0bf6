#include "RequestExecution.h"
#include <algorithm>

// The part of RequestExecution that keeps the limits that endpoints name and those of cold endpoints.
namespace Relay {

using Core::Deadline;

// A request waits for a permit for at most its latency objective divided by this.
static constexpr int64_t permitWaitDivisor = 8;
static constexpr std::chrono::milliseconds minPermitWait(10);

Deadline RequestExecution::permitDeadline() const
{
    return std::min(m_deadline, Deadline(m_receivedAt + std::chrono::milliseconds(m_route.objectiveMs / permitWaitDivisor)));
}

Core::Task<bool> RequestExecution::acquirePermit(const Endpoint& endpoint)
{
    m_permitSource.clear();
    m_permitAskedAt = Core::SteadyClock::now();
    std::optional<double> limit = m_handler.m_selector.requestLimit(endpoint, m_permitAskedAt);
    if (!limit)
        co_return co_await acquirePlace(endpoint);
    ++m_permitRequests;
    PermitService::Permit permit = co_await m_handler.m_hooks.acquirePermit(endpoint.id, *limit);
    m_hasPermitTimedOut = m_hasPermitTimedOut || permit.hasTimedOut;
    m_permitSource = permit.isOwnShare ? "own_share" : "issuer";
    m_handler.m_metrics.counter("jujuberelay_relay_permits_total", "Permits for endpoints that name a limit or are cold, by source and outcome.", { { "source", m_permitSource }, { "outcome", permit.reply.isGranted ? "granted" : "refused" } }).add();
    if (permit.reply.isGranted)
        co_return co_await acquirePlace(endpoint);
    m_handler.m_selector.recordPermitRefusal(endpoint.id, Core::SteadyClock::now() + std::chrono::milliseconds(permit.reply.retryAfterMs));
    m_lastFailure = "endpoint " + endpoint.id + " takes only " + std::to_string(*limit) + " requests a second";
    co_return false;
}

Core::Task<bool> RequestExecution::acquirePlace(const Endpoint& endpoint)
{
    returnPlace(false);
    if (!m_handler.m_hooks.acquirePlace || !m_handler.m_brittleServices.maxRejections(endpoint.service, Core::SteadyClock::now()))
        co_return true;
    std::optional<uint64_t> number = co_await m_handler.m_hooks.acquirePlace(endpoint, m_deadline);
    m_handler.m_metrics.counter("jujuberelay_relay_places_total", "Places asked for at brittle endpoints, by outcome.", { { "outcome", number ? "granted" : "refused" } }).add();
    if (number) {
        m_place = Place { endpoint.id, *number };
        co_return true;
    }
    ++m_refusedPlaces;
    m_excluded.insert(endpoint.id);
    m_lastFailure = "endpoint " + endpoint.id + " falls over if it rejects many requests, and has no free place";
    co_return false;
}

void RequestExecution::returnPlace(bool wasRejected)
{
    if (!m_place)
        return;
    std::optional<double> maxRejections = m_handler.m_brittleServices.maxRejections(m_service, Core::SteadyClock::now());
    m_handler.m_hooks.returnPlace(m_place->endpoint, m_place->number, wasRejected ? std::optional<double>(maxRejections.value_or(0)) : std::nullopt);
    m_place = std::nullopt;
}

bool RequestExecution::lacksPermit(const Endpoint& endpoint) const
{
    Core::SteadyClock::time_point now = Core::SteadyClock::now();
    return m_handler.m_selector.cold().isCold(endpoint, now) && (m_permitSource.empty() || now - m_permitAskedAt > ColdEndpoints::maxPermitAge);
}

Core::Task<bool> RequestExecution::waitForPermit()
{
    m_permitRequests = 0;
    std::optional<Core::SteadyClock::time_point> permitAt = m_handler.m_selector.nextPermitAt(selectionQuery(m_service), Core::SteadyClock::now());
    Deadline until = Deadline(std::max(permitAt.value_or(Core::SteadyClock::time_point::max()), Core::SteadyClock::now() + minPermitWait));
    if (!permitAt || until > permitDeadline() || *m_isCallerGone)
        co_return false;
    co_await Core::sleepUntil(until);
    co_return true;
}

}
