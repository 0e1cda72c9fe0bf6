#include "EventQueue.h"

#include <algorithm>

namespace Measure {

void EventQueue::scheduleAt(Time time, std::function<void()> action)
{
    m_events.push({ std::max(time, m_now), m_nextNumber++, std::move(action) });
}

bool EventQueue::runNext()
{
    if (m_events.empty())
        return false;
    Event event = m_events.top();
    m_events.pop();
    m_now = event.at;
    event.action();
    return true;
}

void EventQueue::runUntil(Time end)
{
    while (!m_events.empty() && m_events.top().at <= end)
        runNext();
    m_now = std::max(m_now, end);
}

}
