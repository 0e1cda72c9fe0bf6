#pragma once

#include "LibCore/Deadline.h"
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace Commands {

// The clock and the pending events of a replay. Events at the same time run in the order in which they were added.
class ReplayEventQueue {
public:
    using TimePoint = Core::SteadyClock::time_point;

    TimePoint now() const { return m_now; }
    void schedule(TimePoint, std::function<void()>);
    // Runs the next event; false when there is none.
    bool runOne();

private:
    struct Event {
        TimePoint at;
        uint64_t number;
        std::function<void()> run;
        bool operator<(const Event& other) const { return at != other.at ? at > other.at : number > other.number; }
    };

    std::priority_queue<Event> m_events;
    TimePoint m_now {};
    uint64_t m_lastNumber { 0 };
};

}
