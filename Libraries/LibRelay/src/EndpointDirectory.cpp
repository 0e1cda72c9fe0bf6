#include "LibRelay/EndpointDirectory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Relay {

// Running endpoints register again within about two seconds after the store has recovered.
static constexpr std::chrono::milliseconds reregistrationGracePeriod(2'200);
// A leaving process that is no longer registered may be registered again, by a store that lags behind or by itself, until it ends.
static constexpr std::chrono::minutes leavingProcessRetention(10);

EndpointDirectory::EndpointDirectory(RemovedCallback removed)
    : m_removed(std::move(removed))
{
}

void EndpointDirectory::put(Endpoint endpoint)
{
    std::erase(m_lapsed, endpoint.id);
    endpoint.isLeaving = endpoint.isLeaving || isMarkedLeaving(endpoint);
    auto rejected = m_rejected.find(endpoint.id);
    if (rejected != m_rejected.end() && rejected->second.isSameRegistration(endpoint))
        return;
    m_rejected.erase(endpoint.id);
    std::string id = endpoint.id;
    m_departed.erase(id);
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
        const Endpoint* endpoint = find(id);
        if (endpoint && endpoint->startedAtMs != 0)
            m_departed.insert_or_assign(id, DepartedProcess { endpoint->startedAtMs, now + leavingProcessRetention });
        erase(id, "registration removed from the store");
        forgetUnknownProcess(id);
        return;
    }
    if (std::find(m_lapsed.begin(), m_lapsed.end(), id) == m_lapsed.end())
        m_lapsed.push_back(id);
}

void EndpointDirectory::replaceAll(std::vector<Endpoint> listed, Core::SteadyClock::time_point now)
{
    bool isRestored = std::exchange(m_isRestored, false);
    std::set<std::string> present;
    for (Endpoint& endpoint : listed) {
        if (isRestored && hasDeparted(endpoint))
            continue;
        present.insert(endpoint.id);
        put(std::move(endpoint));
    }
    std::vector<std::string> missing;
    for (const std::map<std::string, Endpoint>* entries : { &m_endpoints, &m_rejected }) {
        for (const auto& [id, endpoint] : *entries) {
            if (!present.contains(id))
                missing.push_back(id);
        }
    }
    for (const std::string& id : missing)
        remove(id, now);
}

void EndpointDirectory::storeRegained(Core::SteadyClock::time_point now)
{
    if (!m_isStoreLost)
        return;
    m_isStoreLost = false;
    m_graceUntil = now + reregistrationGracePeriod;
}

void EndpointDirectory::storeRestored(Core::SteadyClock::time_point now)
{
    m_isRestored = true;
    for (const auto& [id, endpoint] : m_endpoints) {
        if (endpoint.isLeaving)
            m_leaving.insert_or_assign(id, LeavingProcess { endpoint.startedAtMs, now + leavingProcessRetention });
    }
    storeLost();
    storeRegained(now);
}

bool EndpointDirectory::hasDeparted(const Endpoint& endpoint) const
{
    auto it = m_departed.find(endpoint.id);
    return it != m_departed.end() && endpoint.isWithinLifeOf(it->second.startedAtMs);
}

void EndpointDirectory::expire(Core::SteadyClock::time_point now)
{
    if (isInGracePeriod(now))
        return;
    for (const std::string& id : std::exchange(m_lapsed, {})) {
        erase(id, "registration lapsed during a store outage and was not renewed");
        forgetUnknownProcess(id);
    }
    for (auto& [id, process] : m_leaving) {
        if (m_endpoints.contains(id))
            process.keptUntil = now + leavingProcessRetention;
    }
    std::erase_if(m_leaving, [now](const auto& entry) { return now >= entry.second.keptUntil; });
    std::erase_if(m_departed, [now](const auto& entry) { return now >= entry.second.keptUntil; });
}

void EndpointDirectory::reject(const std::string& id)
{
    auto it = m_endpoints.find(id);
    if (it == m_endpoints.end())
        return;
    m_rejected.insert_or_assign(id, it->second);
    erase(id, "a different endpoint answered at its address");
}

bool EndpointDirectory::isMarkedLeaving(const Endpoint& endpoint) const
{
    auto it = m_leaving.find(endpoint.id);
    return it != m_leaving.end() && endpoint.isWithinLifeOf(it->second.startedAtMs);
}

bool EndpointDirectory::isLeaving(const Endpoint& endpoint) const
{
    const Endpoint* registered = find(endpoint.id);
    return isMarkedLeaving(endpoint) || (registered && registered->isLeaving);
}

bool EndpointDirectory::markLeaving(const Endpoint& endpoint, Core::SteadyClock::time_point now)
{
    auto registered = m_endpoints.find(endpoint.id);
    if (endpoint.startedAtMs == 0 && registered == m_endpoints.end())
        return false;
    LeavingProcess& process = m_leaving[endpoint.id];
    process.startedAtMs = std::max(process.startedAtMs, endpoint.startedAtMs);
    process.keptUntil = now + leavingProcessRetention;
    if (registered == m_endpoints.end() || registered->second.isLeaving || !isMarkedLeaving(registered->second))
        return false;
    return registered->second.isLeaving = true;
}

void EndpointDirectory::forgetUnknownProcess(const std::string& id)
{
    auto it = m_leaving.find(id);
    if (it != m_leaving.end() && it->second.startedAtMs == 0)
        m_leaving.erase(it);
}

const Endpoint* EndpointDirectory::find(const std::string& id) const
{
    auto it = m_endpoints.find(id);
    return it == m_endpoints.end() ? nullptr : &it->second;
}

}
