#pragma once

#include "LibCore/Deadline.h"
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace Measure {

using Time = Core::SteadyClock::time_point;

// Event queue and virtual clock of a discrete-event simulation. Events at equal times run in order of insertion.
class EventQueue {
public:
    Time now() const { return m_now; }
    // Schedules an action; a time in the past is replaced by the current time.
    void scheduleAt(Time, std::function<void()>);
    void scheduleAfter(Core::SteadyClock::duration delay, std::function<void()> action) { scheduleAt(m_now + delay, std::move(action)); }
    // Runs the next event. Returns false if there is none.
    bool runNext();
    // Runs all events up to and including the given time and advances the clock to it.
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
