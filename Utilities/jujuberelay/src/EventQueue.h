#pragma once

#include "LibCore/Deadline.h"
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace Measure {

using Time = Core::SteadyClock::time_point;

// The clock of a discrete-event replay: runs events in order of their times, and of their insertion at equal times.
class EventQueue {
public:
    Time now() const { return m_now; }
    void at(Time, std::function<void()>);
    void after(Core::SteadyClock::duration delay, std::function<void()> action) { at(m_now + delay, std::move(action)); }
    // Runs the next event; false when there is none.
    bool runOne();
    // Runs until no event is left or the time is reached.
    void runUntil(Time);

private:
    struct Event {
        Time at;
        uint64_t number;
        std::function<void()> action;
        bool operator<(const Event& other) const { return at != other.at ? at > other.at : number > other.number; }
    };

    Time m_now {};
    uint64_t m_nextNumber { 0 };
    std::priority_queue<Event> m_events;
};

}
