#pragma once

#include "LibCore/Deadline.h"
#include <cstdint>

namespace Routing {

struct EjectionSettings {
    // Number of consecutive failures after which an endpoint is ejected.
    int failureThreshold { 3 };
    // The ejection time doubles with each further ejection until the endpoint has completed its slow start.
    int64_t baseEjectionMs { 1000 };
    int64_t maxEjectionMs { 60000 };
    // Duration of the slow start after a successful probe.
    int64_t slowStartMs { 10000 };
    // Maximum percentage of endpoints that are ejected at the same time.
    int maxEjectedPercent { 50 };
};

// Outlier detection for one endpoint: ejection after consecutive failures, then a single probe request and a slow start.
class EndpointHealth {
public:
    using TimePoint = Core::SteadyClock::time_point;

    // Fraction of its weight that the endpoint receives: 0 while it is ejected or its probe is in flight.
    double trafficShareAt(const EjectionSettings&, TimePoint now) const;
    bool isEjectedAt(TimePoint now) const { return m_state == State::Ejected && now < m_ejectedUntil; }

    // Returns whether the request is the probe after an ejection.
    bool recordStart(TimePoint now);
    void recordSuccess(const EjectionSettings&, bool isProbe, TimePoint now);
    // mayEject: whether the limit on ejected endpoints permits another one. A failed probe ejects regardless of it.
    void recordFailure(const EjectionSettings&, bool isProbe, bool mayEject, TimePoint now);
    // Records the end of a request that gives no information about the endpoint, such as a cancelled one.
    void recordNeutral(bool isProbe);

private:
    enum class State {
        Serving,
        Ejected,
        Probing,
        SlowStart,
    };

    void eject(const EjectionSettings&, TimePoint now);

    State m_state { State::Serving };
    int m_failures { 0 };
    int m_ejections { 0 };
    TimePoint m_ejectedUntil {};
    TimePoint m_slowStartBegan {};
};

}
