#include "RelayDaemon.h"
#include "RelayEvents.h"

// Evacuations of failure domains, as the operator writes them to the store.

using Core::Reason;

// Names in the store are arbitrary. Further ones are followed too, but not measured.
static constexpr size_t maxMeasuredEvacuations = 64;

Relay::EvacuationHooks RelayDaemon::makeEvacuationSetHooks()
{
    Relay::EvacuationHooks hooks;
    hooks.adopted = [this](const std::string& failureDomain) { reportEvacuation(failureDomain, true); };
    hooks.lifted = [this](const std::string& failureDomain) { reportEvacuation(failureDomain, false); };
    return hooks;
}

Relay::FollowerHooks RelayDaemon::makeEvacuationHooks()
{
    Relay::FollowerHooks hooks;
    hooks.listed = [this](const std::vector<Platform::Object>& objects) { m_evacuations.replaceAll(objects); };
    hooks.changed = [this](const Platform::Change& change) { m_evacuations.adopt(change); };
    hooks.lost = [this](const Reason& reason) { logStoreAvailability("evacuations", true, " reason=\"" + reason.text() + "\""); };
    hooks.regained = [this] { logStoreAvailability("evacuations", false, ""); };
    hooks.restored = [this] { logStoreRestored("evacuations"); };
    return hooks;
}

size_t RelayDaemon::requestsInDomain(const std::string& failureDomain) const
{
    size_t requests = 0;
    for (const auto& [id, endpoint] : m_endpoints.endpoints())
        requests += endpoint.failureDomain == failureDomain ? m_selector.inFlight(id) : 0;
    return requests;
}

// The name as one printable word for logs and metrics, whatever the store has.
static std::string printable(const std::string& name)
{
    std::string text;
    for (char character : name)
        text += character > ' ' && character < 127 && character != '"' ? character : '?';
    return text;
}

void RelayDaemon::reportEvacuation(const std::string& failureDomain, bool isEvacuated)
{
    size_t endpoints = 0;
    for (const auto& [id, endpoint] : m_endpoints.endpoints())
        endpoints += endpoint.failureDomain == failureDomain ? 1 : 0;
    Core::logEvent(isEvacuated ? RelayEvents::evacuationAdopted : RelayEvents::evacuationLifted, "failure_domain=" + printable(failureDomain) + " endpoints=" + std::to_string(endpoints) + " requests=" + std::to_string(requestsInDomain(failureDomain)));
    if (m_measuredEvacuations.contains(failureDomain) || m_measuredEvacuations.size() >= maxMeasuredEvacuations)
        return;
    m_measuredEvacuations.insert(failureDomain);
    Telemetry::Labels labels { { "failure_domain", printable(failureDomain) } };
    m_metrics.observe(
        "jujuberelay_relay_evacuated", "1 while the failure domain is evacuated, so that its endpoints get no further requests.",
        [this, failureDomain] { return m_evacuations.isEvacuated(failureDomain) ? 1.0 : 0.0; }, labels);
    m_metrics.observe(
        "jujuberelay_relay_evacuated_requests", "Requests of this daemon in progress at endpoints of a failure domain that is or was evacuated.",
        [this, failureDomain] { return static_cast<double>(requestsInDomain(failureDomain)); }, labels);
}
