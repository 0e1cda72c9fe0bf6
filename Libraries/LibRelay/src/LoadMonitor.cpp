#include "LibRelay/LoadMonitor.h"

#include <algorithm>

namespace Relay {

void LoadMonitor::record(TimePoint due, TimePoint fired)
{
    m_lag = std::max(std::chrono::milliseconds(0), std::chrono::duration_cast<std::chrono::milliseconds>(fired - due));
    m_lateSamples = m_lag >= maxLag ? m_lateSamples + 1 : 0;
}

}
