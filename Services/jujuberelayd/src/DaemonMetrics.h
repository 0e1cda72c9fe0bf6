#pragma once

#include "LibCaller/Hooks.h"
#include "LibPlatform/ObjectStore.h"
#include "LibTelemetry/Metrics.h"

// The metrics that the daemon counts as things happen. Values that its parts keep themselves are added to the registry
// with observe. Must outlive the functions it returns.
class DaemonMetrics {
public:
    DaemonMetrics();

    Telemetry::Metrics& registry() { return m_registry; }

    // Counts requests and refusals and measures the times of answers. Refusals are also passed on.
    Caller::Observer callerObserver(std::function<void(const Caller::Refusal&)> onRefusal);

    // The same hooks, with their waits measured and their endpoint requests counted.
    Caller::Hooks measured(Caller::Hooks);

    // The same store, with its calls counted by kind and failure.
    Platform::ObjectStore measured(const Platform::ObjectStore&);

private:
    template <typename Result>
    Core::Task<Result> measuredCall(const char* call, Core::Task<Result>, Core::Reason&);
    void countEndpointRequest(const Caller::Route&, const Caller::RouteResult&);

    Telemetry::Metrics m_registry;
    Telemetry::Histogram& m_firstEvent;
    Telemetry::Histogram& m_nextEvent;
    Telemetry::Histogram& m_holdWait;
    Telemetry::Histogram& m_queueWait;
    Telemetry::Histogram& m_witnessOpen;
    Telemetry::Histogram& m_witnessClose;
};
