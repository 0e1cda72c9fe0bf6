#include "LibRelay/EndpointReach.h"

#include <algorithm>

namespace Relay {

void EndpointReach::record(const std::string& service, size_t endpoints, const HTTP::ConnectAttempt& attempt)
{
    ServiceState& state = m_services[service];
    if (attempt.outcome == HTTP::ConnectAttempt::Outcome::Established) {
        state = {};
        return;
    }
    TimePoint now = attempt.endedAt;
    std::erase_if(state.failures, [now](const auto& entry) { return now - entry.second > evidenceTime; });
    // A host that has been cut off stays so while connects fail, however few they are.
    state.isCutOff = state.isCutOff && !state.failures.empty();
    state.failures.insert_or_assign(attempt.address, now);
    bool isOtherCutOff = std::any_of(m_services.begin(), m_services.end(), [&service, this, now](const auto& entry) { return entry.first != service && isCutOff(entry.first, now); });
    state.isCutOff = state.isCutOff || state.failures.size() >= (isOtherCutOff ? 1 : std::clamp<size_t>(endpoints, 1, minFailedEndpoints));
}

bool EndpointReach::isCutOff(const std::string& service, TimePoint now) const
{
    auto it = m_services.find(service);
    if (it == m_services.end() || !it->second.isCutOff)
        return false;
    return std::any_of(it->second.failures.begin(), it->second.failures.end(), [now](const auto& entry) { return now - entry.second <= evidenceTime; });
}

std::set<std::string> EndpointReach::cutOffServices(TimePoint now) const
{
    std::set<std::string> services;
    for (const auto& [service, state] : m_services) {
        if (isCutOff(service, now))
            services.insert(service);
    }
    return services;
}

}
