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

// Remembers the engine's load for as long as reports lag behind.
class LoadHistory {
public:
    explicit LoadHistory(int64_t lagMs)
        : m_lag(lagMs)
    {
    }

    void record(EngineLoad, Core::SteadyClock::time_point now);

    // The load as it was one lag ago.
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
