#pragma once

#include "LibCaller/Hooks.h"
#include "LibPlatform/ObjectStore.h"
#include "LibTelemetry/Metrics.h"

// Metrics that are updated by events. Values that components maintain themselves are registered with
// Telemetry::Metrics::observe. Must outlive the functions it returns.
class DaemonMetrics {
public:
    DaemonMetrics();

    Telemetry::Metrics& registry() { return m_registry; }

    // Counts requests and refusals and measures response times. Forwards refusals to the callback.
    Caller::Observer callerObserver(std::function<void(const Caller::Refusal&)> onRefusal);

    // Wraps the hooks to measure their latencies and count endpoint requests.
    Caller::Hooks instrument(Caller::Hooks);

    // Wraps the store to measure its calls and count them by operation and failure kind.
    Platform::ObjectStore instrument(const Platform::ObjectStore&);

private:
    template <typename Result>
    Core::Task<Result> instrumentCall(const char* call, Core::Task<Result>, Core::Reason&);
    void countEndpointRequest(const Caller::Route&, const Caller::RouteResult&);

    Telemetry::Metrics m_registry;
    Telemetry::Histogram& m_firstEvent;
    Telemetry::Histogram& m_nextEvent;
    Telemetry::Histogram& m_holdWait;
    Telemetry::Histogram& m_queueWait;
    Telemetry::Histogram& m_witnessOpen;
    Telemetry::Histogram& m_witnessClose;
};
