#include "LibRouting/EndpointHealth.h"

#include <algorithm>

namespace Routing {

// The share with which an endpoint starts after its probe has succeeded.
static constexpr double firstShare = 0.1;

double EndpointHealth::shareAt(const EjectionSettings& settings, TimePoint now) const
{
    switch (m_state) {
    case State::Serving:
        return 1;
    case State::Ejected:
        return now < m_ejectedUntil ? 0 : firstShare;
    case State::Probing:
        return 0;
    case State::Returning:
        break;
    }
    double elapsedMs = std::chrono::duration<double, std::milli>(now - m_returningSince).count();
    return std::clamp(elapsedMs / static_cast<double>(settings.returnMs), firstShare, 1.0);
}

bool EndpointHealth::recordStart(TimePoint now)
{
    if (m_state != State::Ejected || now < m_ejectedUntil)
        return false;
    m_state = State::Probing;
    return true;
}

void EndpointHealth::recordSuccess(const EjectionSettings& settings, bool isProbe, TimePoint now)
{
    if (isProbe && m_state == State::Probing) {
        m_state = State::Returning;
        m_returningSince = now;
    }
    // Requests from before the ejection say nothing about the endpoint's present state.
    if (m_state == State::Serving || m_state == State::Returning)
        m_failures = 0;
    if (m_state == State::Returning && now >= m_returningSince + std::chrono::milliseconds(settings.returnMs)) {
        m_state = State::Serving;
        m_ejections = 0;
    }
}

void EndpointHealth::recordFailure(const EjectionSettings& settings, bool isProbe, bool mayEject, TimePoint now)
{
    if (isProbe && m_state == State::Probing) {
        eject(settings, now);
        return;
    }
    if (m_state != State::Serving && m_state != State::Returning)
        return;
    ++m_failures;
    if (m_failures >= settings.failureThreshold && mayEject)
        eject(settings, now);
}

void EndpointHealth::recordNeutral(bool isProbe)
{
    // The next request becomes the probe.
    if (isProbe && m_state == State::Probing)
        m_state = State::Ejected;
}

void EndpointHealth::eject(const EjectionSettings& settings, TimePoint now)
{
    // 2^20 times the first time is longer than any limit in use, and the shift cannot overflow.
    int64_t factor = int64_t { 1 } << std::min(m_ejections, 20);
    int64_t lengthMs = std::min(settings.firstEjectionMs * factor, settings.longestEjectionMs);
    m_state = State::Ejected;
    m_ejectedUntil = now + std::chrono::milliseconds(lengthMs);
    m_failures = 0;
    ++m_ejections;
}

}
