#include "LibCore/Deadline.h"

namespace Core {

std::chrono::milliseconds Deadline::remaining() const
{
    if (m_at == SteadyClock::time_point::max())
        return std::chrono::hours(24 * 365);
    SteadyClock::time_point now = SteadyClock::now();
    if (now >= m_at)
        return std::chrono::milliseconds(0);
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_at - now);
}

}
