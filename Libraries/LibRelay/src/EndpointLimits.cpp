#include "LibRelay/EndpointLimits.h"

#include <algorithm>

namespace Relay {

// How long the limit of a process that answers nothing more is remembered.
static constexpr std::chrono::minutes limitRetention(10);

bool EndpointLimits::record(const Endpoint& endpoint, std::optional<double> requestsPerSecond, TimePoint sentAt, TimePoint now)
{
    std::erase_if(m_limits, [now](const auto& entry) { return now - entry.second.namedAt >= limitRetention; });
    auto known = m_limits.find(endpoint.id);
    if (known != m_limits.end() && endpoint.startedAtMs != 0 && endpoint.startedAtMs < known->second.processStartMs)
        return false;
    if (known != m_limits.end() && !endpoint.isWithinLifeOf(known->second.processStartMs)) {
        m_limits.erase(known);
        known = m_limits.end();
    }
    if (!requestsPerSecond) {
        // The answer to an earlier request may have been made before the limit was named.
        if (known == m_limits.end() || sentAt < known->second.namedAt)
            return false;
        m_limits.erase(known);
        return true;
    }
    bool hasChanged = known == m_limits.end() || known->second.requestsPerSecond != *requestsPerSecond;
    int64_t processStartMs = known == m_limits.end() ? endpoint.startedAtMs : std::max(known->second.processStartMs, endpoint.startedAtMs);
    m_limits.insert_or_assign(endpoint.id, Limit { processStartMs, *requestsPerSecond, now });
    return hasChanged;
}

std::optional<double> EndpointLimits::limitOf(const Endpoint& endpoint) const
{
    auto it = m_limits.find(endpoint.id);
    if (it == m_limits.end() || !endpoint.isWithinLifeOf(it->second.processStartMs))
        return std::nullopt;
    return it->second.requestsPerSecond;
}

void EndpointLimits::forget(const std::string& endpoint)
{
    // Without a start time, the next registration under this id is a new process.
    auto it = m_limits.find(endpoint);
    if (it != m_limits.end() && it->second.processStartMs == 0)
        m_limits.erase(it);
}

}
