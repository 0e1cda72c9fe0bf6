#pragma once

#include "LibCore/Deadline.h"
#include <algorithm>

namespace Ledger {

// Limits a shard's writes to an average rate with bursts (generic cell rate algorithm), since all shards share the
// platform's few hundred writes per second. An idle shard commits at once; a busy one batches more entries per commit.
class WriteRateLimiter {
public:
    using Time = Core::SteadyClock::time_point;

    // A rate of 0 disables the limit.
    WriteRateLimiter(double writesPerSecond, int burst)
        : m_interval(writesPerSecond > 0 ? std::chrono::duration_cast<Core::SteadyClock::duration>(std::chrono::duration<double>(1 / writesPerSecond)) : Core::SteadyClock::duration::zero())
        , m_tolerance(m_interval * std::max(0, burst - 1))
    {
    }

    // Returns the earliest time of the next write.
    Core::Deadline nextWrite() const { return Core::Deadline(m_theoreticalArrival - m_tolerance); }
    void recordWrite(Time now) { m_theoreticalArrival = std::max(m_theoreticalArrival, now) + m_interval; }

private:
    Core::SteadyClock::duration m_interval;
    Core::SteadyClock::duration m_tolerance;
    Time m_theoreticalArrival {};
};

}
