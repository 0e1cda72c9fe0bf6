#include "LibRelay/SoftwareVersions.h"

#include <algorithm>

namespace Relay {

using TimePoint = Core::SteadyClock::time_point;

void SoftwareVersions::observe(const Endpoint& endpoint, TimePoint now)
{
    m_lastSeen[endpoint.service][endpoint.softwareVersion] = now;
}

std::optional<std::string> SoftwareVersions::onlyVersion(const std::string& service, TimePoint now) const
{
    auto it = m_lastSeen.find(service);
    if (it == m_lastSeen.end())
        return std::nullopt;
    std::optional<std::string> only;
    for (const auto& [version, lastSeen] : it->second) {
        if (now - lastSeen > retention)
            continue;
        if (only)
            return std::nullopt;
        only = version;
    }
    return only;
}

std::set<std::string> SoftwareVersions::mixedServices(TimePoint now) const
{
    std::set<std::string> mixed;
    for (const auto& [service, versions] : m_lastSeen) {
        auto live = std::count_if(versions.begin(), versions.end(), [now](const auto& entry) { return now - entry.second <= retention; });
        if (live > 1)
            mixed.insert(service);
    }
    return mixed;
}

}
