#pragma once

#include "LibCore/Deadline.h"

namespace Emulator {

// Token bucket with a capacity of one second of calls, but at least one call.
class RateLimiter {
public:
    // A rate of 0 disables the limit.
    RateLimiter(double perSecond, Core::SteadyClock::time_point now);

    // Takes one token. Returns false if the rate is exceeded.
    bool tryAcquire(Core::SteadyClock::time_point now);

    // Seconds until the next token is available, rounded up, from 1 to 3,600.
    unsigned retryAfterSeconds() const;

private:
    double m_perSecond;
    double m_capacity;
    double m_available;
    Core::SteadyClock::time_point m_refilledAt;
};

}
