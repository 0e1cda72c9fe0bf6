#include "LibRouting/WaitingList.h"

namespace Routing {

// Weight of the newest interval in the moving average.
static constexpr double smoothingFactor = 0.1;

WaitingList::WaitingList(WaitingListSettings settings)
    : m_settings(settings)
{
}

std::vector<Waiter> WaitingList::add(const Waiter& waiter, TimePoint now)
{
    if (m_waiters.empty())
        m_lastAdmission = now;
    m_waiters[positionOf(waiter)] = waiter;
    std::vector<Waiter> refused = removeInfeasible(now);
    if (m_waiters.size() > m_settings.limit) {
        std::map<Position, Waiter>::iterator last = std::prev(m_waiters.end());
        refused.push_back(last->second);
        m_waiters.erase(last);
    }
    return refused;
}

std::optional<Waiter> WaitingList::first() const
{
    if (m_waiters.empty())
        return std::nullopt;
    return m_waiters.begin()->second;
}

void WaitingList::remove(const Waiter& waiter)
{
    m_waiters.erase(positionOf(waiter));
}

void WaitingList::admitFirst(TimePoint now)
{
    if (m_waiters.empty())
        return;
    m_waiters.erase(m_waiters.begin());
    std::chrono::duration<double> interval = now - *m_lastAdmission;
    m_meanAdmissionInterval = m_meanAdmissionInterval.count() == 0 ? interval : m_meanAdmissionInterval * (1 - smoothingFactor) + interval * smoothingFactor;
    m_lastAdmission = now;
}

std::vector<Waiter> WaitingList::removeInfeasible(TimePoint now)
{
    std::vector<Waiter> infeasible;
    size_t ahead = 0;
    std::map<Position, Waiter>::iterator current = m_waiters.begin();
    while (current != m_waiters.end()) {
        TimePoint expectedEnd = now + expectedWait(ahead) + m_settings.serviceTime;
        if (expectedEnd < current->second.deadline.at()) {
            ++current;
            ++ahead;
            continue;
        }
        infeasible.push_back(current->second);
        current = m_waiters.erase(current);
    }
    return infeasible;
}

std::chrono::microseconds WaitingList::expectedWait(size_t ahead) const
{
    return std::chrono::duration_cast<std::chrono::microseconds>(m_meanAdmissionInterval * static_cast<double>(ahead));
}

}
