#include "EventQueue.h"

#include <algorithm>

namespace Measure {

void EventQueue::at(Time time, std::function<void()> action)
{
    m_events.push({ std::max(time, m_now), m_nextNumber++, std::move(action) });
}

void EventQueue::runUntil(Time end)
{
    while (!m_events.empty() && m_events.top().at <= end) {
        Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
    }
    m_now = std::max(m_now, end);
}

}
