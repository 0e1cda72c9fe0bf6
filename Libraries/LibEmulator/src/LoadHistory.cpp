#include "LoadHistory.h"

namespace Emulator {

void LoadHistory::record(EngineLoad load, Core::SteadyClock::time_point now)
{
    m_entries.push_back({ now, load });
    // The newest entry that is at least as old as the lag is the one to report.
    while (m_entries.size() > 1 && m_entries[1].at + m_lag <= now)
        m_entries.pop_front();
}

EngineLoad LoadHistory::report(Core::SteadyClock::time_point now) const
{
    EngineLoad load;
    for (const Entry& entry : m_entries) {
        if (entry.at + m_lag > now)
            break;
        load = entry.load;
    }
    return load;
}

}
