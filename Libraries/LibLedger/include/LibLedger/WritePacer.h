#pragma once

#include "LibCore/Deadline.h"
#include <algorithm>

namespace Ledger {

// Limits a shard's writes to an average rate with bursts, since all shards share the platform's few hundred writes a
// second. A quiet shard commits at once; a busy one gathers more entries into each commit.
class WritePacer {
public:
    using Time = Core::SteadyClock::time_point;

    // A rate of 0 means no limit.
    WritePacer(double writesPerSecond, int burst)
        : m_interval(writesPerSecond > 0 ? std::chrono::duration_cast<Core::SteadyClock::duration>(std::chrono::duration<double>(1 / writesPerSecond)) : Core::SteadyClock::duration::zero())
        , m_tolerance(m_interval * std::max(0, burst - 1))
    {
    }

    // When the next write may start.
    Core::Deadline nextWrite() const { return Core::Deadline(m_nextRegular - m_tolerance); }
    void countWrite(Time now) { m_nextRegular = std::max(m_nextRegular, now) + m_interval; }

private:
    Core::SteadyClock::duration m_interval;
    Core::SteadyClock::duration m_tolerance;
    Time m_nextRegular {};
};

}
