#pragma once

#include <chrono>
#include <compare>

namespace Core {

using SteadyClock = std::chrono::steady_clock;

// A point on the steady clock after which an operation is pointless.
class Deadline {
public:
    explicit Deadline(SteadyClock::time_point at)
        : m_at(at)
    {
    }

    static Deadline after(std::chrono::milliseconds delay) { return Deadline(SteadyClock::now() + delay); }
    static Deadline never() { return Deadline(SteadyClock::time_point::max()); }

    SteadyClock::time_point at() const { return m_at; }
    bool hasPassed() const { return SteadyClock::now() >= m_at; }

    // Time left in milliseconds, at least 0; used for records that cross hosts.
    std::chrono::milliseconds remaining() const;

    auto operator<=>(const Deadline&) const = default;

private:
    SteadyClock::time_point m_at;
};

}
