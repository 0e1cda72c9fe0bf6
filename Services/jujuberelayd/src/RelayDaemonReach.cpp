#include "LibCore/Random.h"
#include "RelayDaemon.h"
#include "RelayEvents.h"

// What a relay daemon does while its host is cut off from endpoints.

using Core::Deadline;

// Interval and time limit of the connects that test whether the host is still cut off.
static constexpr std::chrono::milliseconds reachTestInterval(300);
static constexpr std::chrono::milliseconds reachTestTimeout(400);

void RelayDaemon::recordReach(const HTTP::ConnectAttempt& attempt)
{
    const Relay::Endpoint* endpoint = nullptr;
    for (const auto& [id, known] : m_endpoints.endpoints()) {
        if (known.address == attempt.address)
            endpoint = &known;
    }
    if (!endpoint)
        return;
    size_t endpoints = 0;
    for (const auto& [id, other] : m_endpoints.endpoints())
        endpoints += other.service == endpoint->service && !other.isLeaving && !m_selector.isEvacuated(other) ? 1 : 0;
    m_reach.record(endpoint->service, endpoints, attempt);
    updateReach();
}

void RelayDaemon::updateReach()
{
    std::set<std::string> services = m_reach.cutOffServices(Core::SteadyClock::now());
    if (services == m_cutOffServices)
        return;
    for (const std::string& service : services) {
        if (!m_cutOffServices.contains(service))
            Core::logEvent(RelayEvents::cutOff, "service=" + service + " active_requests=" + std::to_string(m_callerServer.activeRequests()));
    }
    for (const std::string& service : m_cutOffServices) {
        if (!services.contains(service))
            Core::logEvent(RelayEvents::cutOffEnded, "service=" + service);
    }
    m_cutOffServices = std::move(services);
    // The requests hold tokens at the daemons that they are passed on to.
    if (!m_isStopping)
        m_budgets.setReserving(!isCutOffFromAll());
}

bool RelayDaemon::isCutOffFromAll() const
{
    if (m_cutOffServices.empty())
        return false;
    for (const auto& [id, endpoint] : m_endpoints.endpoints()) {
        if (!m_cutOffServices.contains(endpoint.service))
            return false;
    }
    return true;
}

Core::Task<void> RelayDaemon::testReach()
{
    while (!m_isStopping) {
        co_await Core::sleepUntil(Deadline::after(reachTestInterval));
        for (const std::string& service : m_cutOffServices)
            Core::spawn(m_executor, "test reach of service", testReachOf(service));
    }
}

Core::Task<void> RelayDaemon::testReachOf(std::string service)
{
    std::vector<Core::Address> addresses;
    for (const auto& [id, endpoint] : m_endpoints.endpoints()) {
        if (endpoint.service == service && m_selector.takesRequests(endpoint, Core::SteadyClock::now()))
            addresses.push_back(endpoint.address);
    }
    if (addresses.empty())
        co_return;
    co_await m_client->testConnect(addresses[Core::randomBelow(addresses.size())], Deadline::after(reachTestTimeout));
}

void RelayDaemon::addRelayHooks(Relay::HandlerHooks& hooks)
{
    hooks.isCutOff = [this](const std::string& service) { return m_reach.isCutOff(service, Core::SteadyClock::now()); };
    hooks.relayPeer = [this](const std::set<Core::Address>& asked) { return m_relays.randomRelay(asked); };
    hooks.relayEnded = [this](const Core::Address& peer, bool takesRequests) {
        if (takesRequests)
            m_relays.clearSuspicion(peer);
        else
            m_relays.suspect(peer);
    };
}
