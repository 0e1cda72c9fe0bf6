#include "RateLimiter.h"

#include <algorithm>
#include <cmath>

namespace Emulator {

RateLimiter::RateLimiter(double perSecond, Core::SteadyClock::time_point now)
    : m_perSecond(perSecond)
    , m_capacity(std::max(1.0, perSecond))
    , m_available(m_capacity)
    , m_refilledAt(now)
{
}

bool RateLimiter::tryAcquire(Core::SteadyClock::time_point now)
{
    if (m_perSecond <= 0)
        return true;
    std::chrono::duration<double> elapsed = now - m_refilledAt;
    m_refilledAt = now;
    m_available = std::min(m_capacity, m_available + elapsed.count() * m_perSecond);
    if (m_available < 1)
        return false;
    m_available -= 1;
    return true;
}

unsigned RateLimiter::retryAfterSeconds() const
{
    if (m_perSecond <= 0 || m_available >= 1)
        return 1;
    double seconds = std::ceil((1 - m_available) / m_perSecond);
    return static_cast<unsigned>(std::clamp(seconds, 1.0, 3600.0));
}

}
