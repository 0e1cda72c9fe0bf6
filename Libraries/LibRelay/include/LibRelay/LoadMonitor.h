#pragma once

#include "LibCore/Deadline.h"

namespace Relay {

// Tells from the lateness of a periodic timer whether this process is short of processor time. A process that is takes requests
// seconds after they have arrived, serves them after their callers have left, and hands endpoints time that has passed.
class LoadMonitor {
public:
    using TimePoint = Core::SteadyClock::time_point;

    // Interval of the timer.
    static constexpr std::chrono::milliseconds sampleInterval { 100 };

    // Records that the timer due at the first time fired at the second.
    void record(TimePoint due, TimePoint fired);

    // Whether new requests would wait for long. A single late timer is a pause that is over, such as that of a suspended host.
    bool isOverloaded() const { return m_lateSamples >= minLateSamples; }

    std::chrono::milliseconds lag() const { return m_lag; }

private:
    static constexpr std::chrono::milliseconds maxLag { 300 };
    static constexpr int minLateSamples = 2;

    std::chrono::milliseconds m_lag { 0 };
    // Late samples in a row.
    int m_lateSamples { 0 };
};

}
