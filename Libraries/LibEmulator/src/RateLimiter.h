#pragma once

#include "LibCore/Deadline.h"

namespace Emulator {

// A token bucket that holds the calls of one second, at least one.
class RateLimiter {
public:
    // A rate of 0 sets no limit.
    RateLimiter(double perSecond, Core::SteadyClock::time_point now);

    // Takes one call; false when the rate is exceeded.
    bool take(Core::SteadyClock::time_point now);

    // Whole seconds, at least 1, until the next call is possible.
    unsigned retryAfterSeconds() const;

private:
    double m_perSecond;
    double m_capacity;
    double m_available;
    Core::SteadyClock::time_point m_refilledAt;
};

}
