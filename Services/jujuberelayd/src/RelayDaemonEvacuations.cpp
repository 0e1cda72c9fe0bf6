#include "RelayDaemon.h"
#include "RelayEvents.h"
#include <algorithm>

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

static char printableCharacter(char character)
{
    return character > ' ' && character < 127 && character != '"' ? character : '?';
}

// The name as one printable word for logs and metrics, whatever the store has. Several names may have the same.
static std::string printable(const std::string& name)
{
    std::string text = name;
    std::transform(text.begin(), text.end(), text.begin(), printableCharacter);
    return text;
}

static bool isPrintedAs(const std::string& name, const std::string& label)
{
    return std::equal(name.begin(), name.end(), label.begin(), label.end(), [](char a, char b) { return printableCharacter(a) == b; });
}

size_t RelayDaemon::requestsInDomain(const std::string& label) const
{
    size_t requests = 0;
    for (const auto& [id, endpoint] : m_endpoints.endpoints())
        requests += isPrintedAs(endpoint.failureDomain, label) ? m_selector.inFlight(id) : 0;
    return requests;
}

void RelayDaemon::reportEvacuation(const std::string& failureDomain, bool isEvacuated)
{
    std::string label = printable(failureDomain);
    size_t endpoints = 0;
    for (const auto& [id, endpoint] : m_endpoints.endpoints())
        endpoints += isPrintedAs(endpoint.failureDomain, label) ? 1 : 0;
    Core::logEvent(isEvacuated ? RelayEvents::evacuationAdopted : RelayEvents::evacuationLifted, "failure_domain=" + label + " endpoints=" + std::to_string(endpoints) + " requests=" + std::to_string(requestsInDomain(label)));
    if (m_measuredEvacuations.contains(label) || m_measuredEvacuations.size() >= maxMeasuredEvacuations)
        return;
    m_measuredEvacuations.insert(label);
    Telemetry::Labels labels { { "failure_domain", label } };
    m_metrics.observe(
        "jujuberelay_relay_evacuated", "1 while the failure domain is evacuated, so that its endpoints get no further requests.",
        [this, label] {
            const std::set<std::string>& evacuated = m_evacuations.failureDomains();
            return std::any_of(evacuated.begin(), evacuated.end(), [&label](const std::string& name) { return isPrintedAs(name, label); }) ? 1.0 : 0.0;
        },
        labels);
    m_metrics.observe(
        "jujuberelay_relay_evacuated_requests", "Requests of this daemon in progress at registered endpoints of a failure domain that is or was evacuated.",
        [this, label] { return static_cast<double>(requestsInDomain(label)); }, labels);
}
