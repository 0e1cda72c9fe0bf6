#pragma once

#include "LibCore/Deadline.h"
#include <cstdint>
#include <deque>

namespace Emulator {

struct EngineLoad {
    int64_t running { 0 };
    int64_t queued { 0 };
    bool operator==(const EngineLoad&) const = default;
};

// Records the engine's load, so that reports can be delayed by a fixed lag.
class LoadHistory {
public:
    explicit LoadHistory(int64_t lagMs)
        : m_lag(lagMs)
    {
    }

    void record(EngineLoad, Core::SteadyClock::time_point now);

    // Returns the load at the time now - lag.
    EngineLoad report(Core::SteadyClock::time_point now) const;

private:
    struct Entry {
        Core::SteadyClock::time_point at;
        EngineLoad load;
    };

    std::chrono::milliseconds m_lag;
    std::deque<Entry> m_entries;
};

}
