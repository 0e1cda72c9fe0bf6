#pragma once

#include "LibCore/Deadline.h"
#include <cstdint>

namespace Routing {

struct EjectionSettings {
    // Consecutive failures that eject an endpoint.
    int failureThreshold { 3 };
    // Each further ejection before a full return takes twice as long as the one before.
    int64_t firstEjectionMs { 1000 };
    int64_t longestEjectionMs { 60000 };
    // Time in which the share of an endpoint grows to the whole after its probe succeeded.
    int64_t returnMs { 10000 };
    // Share of the endpoints that may be ejected at once.
    int maxEjectedPercent { 50 };
};

// Whether one endpoint gets requests: ejection after consecutive failures, one probe, slow return.
class EndpointHealth {
public:
    using TimePoint = Core::SteadyClock::time_point;

    // The share of its weight that the endpoint gets now; 0 while it is ejected or its probe is in flight.
    double shareAt(const EjectionSettings&, TimePoint now) const;
    bool isEjectedAt(TimePoint now) const { return m_state == State::Ejected && now < m_ejectedUntil; }

    // Returns whether the request is the probe of an endpoint that returns.
    bool recordStart(TimePoint now);
    void recordSuccess(const EjectionSettings&, bool isProbe, TimePoint now);
    // mayEject: whether another endpoint may be ejected now. A failed probe ejects in any case.
    void recordFailure(const EjectionSettings&, bool isProbe, bool mayEject, TimePoint now);
    // The request ended for a reason that says nothing about the endpoint.
    void recordNeutral(bool isProbe);

private:
    enum class State {
        Serving,
        Ejected,
        Probing,
        Returning,
    };

    void eject(const EjectionSettings&, TimePoint now);

    State m_state { State::Serving };
    int m_failures { 0 };
    int m_ejections { 0 };
    TimePoint m_ejectedUntil {};
    TimePoint m_returningSince {};
};

}
