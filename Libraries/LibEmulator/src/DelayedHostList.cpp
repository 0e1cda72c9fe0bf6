#include "DelayedHostList.h"

namespace Emulator {

DelayedHostList::DelayedHostList(std::vector<Platform::HostRecord> initial, std::chrono::milliseconds lag)
    : m_visible(std::move(initial))
    , m_lag(lag)
{
}

void DelayedHostList::set(std::vector<Platform::HostRecord> hosts, Core::SteadyClock::time_point now)
{
    m_pending.push_back({ Core::Deadline(now + m_lag), std::move(hosts) });
}

const std::vector<Platform::HostRecord>& DelayedHostList::visible(Core::SteadyClock::time_point now)
{
    while (!m_pending.empty() && m_pending.front().visibleAt.at() <= now) {
        m_visible = std::move(m_pending.front().hosts);
        m_pending.pop_front();
    }
    return m_visible;
}

}
