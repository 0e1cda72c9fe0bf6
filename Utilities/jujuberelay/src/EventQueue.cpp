#include "EventQueue.h"

#include <algorithm>

namespace Measure {

void EventQueue::at(Time time, std::function<void()> action)
{
    m_events.push({ std::max(time, m_now), m_nextNumber++, std::move(action) });
}

bool EventQueue::runOne()
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
        runOne();
    m_now = std::max(m_now, end);
}

}
