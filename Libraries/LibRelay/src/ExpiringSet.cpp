#include "LibRelay/ExpiringSet.h"

namespace Relay {

void ExpiringSet::add(uint64_t key, Core::SteadyClock::time_point now)
{
    auto it = m_positions.find(key);
    if (it != m_positions.end()) {
        it->second->expiresAt = now + m_lifetime;
        m_entries.splice(m_entries.end(), m_entries, it->second);
        return;
    }
    m_entries.push_back({ key, now + m_lifetime });
    m_positions.emplace(key, std::prev(m_entries.end()));
    while (m_entries.size() > m_maxSize || m_entries.front().expiresAt <= now) {
        m_positions.erase(m_entries.front().key);
        m_entries.pop_front();
    }
}

bool ExpiringSet::contains(uint64_t key, Core::SteadyClock::time_point now) const
{
    auto it = m_positions.find(key);
    return it != m_positions.end() && now < it->second->expiresAt;
}

}
