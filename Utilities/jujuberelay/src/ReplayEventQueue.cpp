#include "ReplayEventQueue.h"

namespace Commands {

void ReplayEventQueue::schedule(TimePoint at, std::function<void()> run)
{
    m_events.push({ at, ++m_lastNumber, std::move(run) });
}

bool ReplayEventQueue::runOne()
{
    if (m_events.empty())
        return false;
    Event event = m_events.top();
    m_events.pop();
    m_now = event.at;
    event.run();
    return true;
}

}
