#include "LibRelay/RequestPacer.h"

#include <algorithm>

namespace Relay {

// Longest time between two requests. A lower rate counts as none.
static constexpr std::chrono::microseconds maxInterval = std::chrono::hours(1);

std::chrono::microseconds RequestPacer::interval(double perSecond)
{
    static constexpr double microsecondsPerSecond = 1e6;
    double microseconds = perSecond > 0 ? microsecondsPerSecond / perSecond : static_cast<double>(maxInterval.count());
    return std::chrono::microseconds(static_cast<int64_t>(std::min(microseconds, static_cast<double>(maxInterval.count()))));
}

std::optional<RequestPacer::TimePoint> RequestPacer::take(double perSecond, std::chrono::milliseconds burst, TimePoint now)
{
    std::chrono::microseconds spacing = interval(perSecond);
    if (spacing == maxInterval)
        return now + maxInterval;
    if (now < m_dueAt - burst)
        return m_dueAt - burst;
    m_dueAt = std::max(m_dueAt, now) + spacing;
    return std::nullopt;
}

}
