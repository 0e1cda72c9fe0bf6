#include "LibRouting/EndpointHealth.h"

#include <algorithm>

namespace Routing {

// Traffic share of an endpoint at the beginning of its slow start.
static constexpr double initialSlowStartShare = 0.1;

double EndpointHealth::trafficShareAt(const EjectionSettings& settings, TimePoint now) const
{
    switch (m_state) {
    case State::Serving:
        return 1;
    case State::Ejected:
        return now < m_ejectedUntil ? 0 : initialSlowStartShare;
    case State::Probing:
        return 0;
    case State::SlowStart:
        break;
    }
    double elapsedMs = std::chrono::duration<double, std::milli>(now - m_slowStartBegan).count();
    return std::clamp(elapsedMs / static_cast<double>(settings.slowStartMs), initialSlowStartShare, 1.0);
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
        m_state = State::SlowStart;
        m_slowStartBegan = now;
    }
    // Requests that started before the ejection do not reflect the current state of the endpoint.
    if (m_state == State::Serving || m_state == State::SlowStart)
        m_failures = 0;
    if (m_state == State::SlowStart && now >= m_slowStartBegan + std::chrono::milliseconds(settings.slowStartMs)) {
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
    if (m_state != State::Serving && m_state != State::SlowStart)
        return;
    ++m_failures;
    if (m_failures >= settings.failureThreshold && mayEject)
        eject(settings, now);
}

void EndpointHealth::recordNeutral(bool isProbe)
{
    // The probe was inconclusive, so the next request becomes the probe.
    if (isProbe && m_state == State::Probing)
        m_state = State::Ejected;
}

void EndpointHealth::eject(const EjectionSettings& settings, TimePoint now)
{
    // Limits the shift to prevent an overflow. The result exceeds every practical maxEjectionMs.
    int64_t factor = int64_t { 1 } << std::min(m_ejections, 20);
    int64_t lengthMs = std::min(settings.baseEjectionMs * factor, settings.maxEjectionMs);
    m_state = State::Ejected;
    m_ejectedUntil = now + std::chrono::milliseconds(lengthMs);
    m_failures = 0;
    ++m_ejections;
}

}
