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
    // Time that a request still needs after its wait, for example until its first token.
    std::chrono::milliseconds serviceTime { 0 };
};

struct Waiter {
    // Unique and increasing in the order of arrival.
    uint64_t id { 0 };
    // Higher is served first.
    int priority { 0 };
    Core::Deadline deadline { Core::Deadline::never() };
    bool operator==(const Waiter&) const = default;
};

// Requests that wait for capacity, in the order of priority and arrival. Estimates from the recent rate of admissions
// whether a deadline can still be met.
class WaitingList {
public:
    using TimePoint = Core::SteadyClock::time_point;

    explicit WaitingList(WaitingListSettings);

    // Adds the waiter and returns those that must be refused for it, which may include itself: the last one when the
    // list is full, and those that can no longer meet their deadlines.
    std::vector<Waiter> add(const Waiter&, TimePoint now);

    std::optional<Waiter> first() const;
    void remove(const Waiter&);

    // Removes the first waiter because capacity was found for it.
    void admitFirst(TimePoint now);

    // Removes and returns the waiters that can no longer meet their deadlines.
    std::vector<Waiter> takeHopeless(TimePoint now);

    size_t size() const { return m_waiters.size(); }
    // The expected wait of a request with this many requests before it; zero while there is no estimate.
    std::chrono::microseconds expectedWait(size_t ahead) const;

private:
    // Higher priorities first, then earlier arrivals.
    using Position = std::pair<int, uint64_t>;
    static Position positionOf(const Waiter& waiter) { return { -waiter.priority, waiter.id }; }

    WaitingListSettings m_settings;
    std::map<Position, Waiter> m_waiters;
    // Mean time between admissions while requests wait.
    std::chrono::duration<double> m_interval { 0 };
    // The last admission, or the time from which on requests have been waiting.
    std::optional<TimePoint> m_lastAdmission;
};

}
