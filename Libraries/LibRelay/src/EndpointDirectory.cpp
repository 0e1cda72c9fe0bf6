#include "LibRelay/EndpointDirectory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Relay {

// Running endpoints register again within about two seconds after the store has recovered.
static constexpr std::chrono::milliseconds reregistrationGracePeriod(2'200);

EndpointDirectory::EndpointDirectory(RemovedCallback removed)
    : m_removed(std::move(removed))
{
}

void EndpointDirectory::put(Endpoint endpoint)
{
    std::erase(m_lapsed, endpoint.id);
    auto rejected = m_rejected.find(endpoint.id);
    if (rejected != m_rejected.end() && rejected->second == endpoint)
        return;
    m_rejected.erase(endpoint.id);
    std::string id = endpoint.id;
    m_endpoints.insert_or_assign(std::move(id), std::move(endpoint));
}

void EndpointDirectory::erase(const std::string& id, const char* reason)
{
    auto it = m_endpoints.find(id);
    if (it == m_endpoints.end())
        return;
    Endpoint endpoint = std::move(it->second);
    m_endpoints.erase(it);
    if (m_removed)
        m_removed(endpoint, reason);
}

void EndpointDirectory::remove(const std::string& id, Core::SteadyClock::time_point now)
{
    m_rejected.erase(id);
    if (!isInGracePeriod(now)) {
        erase(id, "registration removed from the store");
        return;
    }
    if (std::find(m_lapsed.begin(), m_lapsed.end(), id) == m_lapsed.end())
        m_lapsed.push_back(id);
}

void EndpointDirectory::replaceAll(std::vector<Endpoint> listed, Core::SteadyClock::time_point now)
{
    std::set<std::string> present;
    for (Endpoint& endpoint : listed) {
        present.insert(endpoint.id);
        put(std::move(endpoint));
    }
    std::vector<std::string> missing;
    for (const auto& [id, endpoint] : m_endpoints) {
        if (!present.contains(id))
            missing.push_back(id);
    }
    for (const std::string& id : missing)
        remove(id, now);
    std::erase_if(m_rejected, [&present](const auto& entry) { return !present.contains(entry.first); });
}

void EndpointDirectory::storeRegained(Core::SteadyClock::time_point now)
{
    if (!m_isStoreLost)
        return;
    m_isStoreLost = false;
    m_graceUntil = now + reregistrationGracePeriod;
}

void EndpointDirectory::expire(Core::SteadyClock::time_point now)
{
    if (isInGracePeriod(now))
        return;
    for (const std::string& id : std::exchange(m_lapsed, {}))
        erase(id, "registration lapsed during a store outage and was not renewed");
}

void EndpointDirectory::reject(const std::string& id)
{
    auto it = m_endpoints.find(id);
    if (it == m_endpoints.end())
        return;
    m_rejected.insert_or_assign(id, it->second);
    erase(id, "a different endpoint answered at its address");
}

const Endpoint* EndpointDirectory::find(const std::string& id) const
{
    auto it = m_endpoints.find(id);
    return it == m_endpoints.end() ? nullptr : &it->second;
}

}
