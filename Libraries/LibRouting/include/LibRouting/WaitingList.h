#pragma once

#include "LibCore/Deadline.h"
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Routing {

struct WaitingListSettings {
    size_t limit { 1024 };
    // Time that a request needs after its admission, for example until its first token.
    std::chrono::milliseconds serviceTime { 0 };
};

struct Waiter {
    // Unique, in the order of arrival.
    uint64_t id { 0 };
    // Higher values are admitted first.
    int priority { 0 };
    Core::Deadline deadline { Core::Deadline::never() };
    bool operator==(const Waiter&) const = default;
};

// Queue of requests that wait for capacity, ordered by priority and arrival. Uses the recent admission rate to estimate
// whether a deadline can be met.
class WaitingList {
public:
    using TimePoint = Core::SteadyClock::time_point;

    explicit WaitingList(WaitingListSettings);

    // Adds the waiter and returns the waiters to refuse, possibly including the new one: the last one if the list is full,
    // and those that can no longer meet their deadlines.
    std::vector<Waiter> add(const Waiter&, TimePoint now);

    std::optional<Waiter> first() const;
    void remove(const Waiter&);

    // Removes the first waiter after capacity was allocated to it.
    void admitFirst(TimePoint now);

    // Removes and returns the waiters that can no longer meet their deadlines.
    std::vector<Waiter> removeInfeasible(TimePoint now);

    size_t size() const { return m_waiters.size(); }
    // Expected wait of a request behind the given number of requests; zero while there is no estimate.
    std::chrono::microseconds expectedWait(size_t ahead) const;

private:
    // Orders by descending priority, then by arrival.
    using Position = std::pair<int, uint64_t>;
    static Position positionOf(const Waiter& waiter) { return { -waiter.priority, waiter.id }; }

    WaitingListSettings m_settings;
    std::map<Position, Waiter> m_waiters;
    // Moving average of the time between admissions while requests wait.
    std::chrono::duration<double> m_meanAdmissionInterval { 0 };
    // Time of the last admission, or of the first arrival at the empty list if that is later.
    std::optional<TimePoint> m_lastAdmission;
};

}
