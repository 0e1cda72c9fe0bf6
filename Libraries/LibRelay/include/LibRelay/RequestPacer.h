#pragma once

#include "LibCore/Deadline.h"
#include <optional>

namespace Relay {

// Spaces requests evenly at a rate that may vary, with the generic cell rate algorithm.
class RequestPacer {
public:
    using TimePoint = Core::SteadyClock::time_point;

    // No request is admitted before the given time.
    explicit RequestPacer(TimePoint firstAt)
        : m_dueAt(firstAt)
    {
    }

    // Admits one request, up to `burst` ahead of its turn. If it is refused, returns when the next one would be admitted.
    std::optional<TimePoint> take(double perSecond, std::chrono::milliseconds burst, TimePoint now);

    // Whether the next request would be admitted at its turn, as by a new pacer.
    bool isIdle(TimePoint now) const { return m_dueAt <= now; }

    // Time between two requests.
    static std::chrono::microseconds interval(double perSecond);

private:
    // When the next request is due.
    TimePoint m_dueAt;
};

}
