#pragma once

#include "LibCore/Async.h"
#include "LibCore/Reason.h"
#include "LibTelemetry/Span.h"
#include <deque>
#include <functional>
#include <random>

namespace Telemetry {

struct TracerSettings {
    bool isEnabled { false };
    // Exported as the resource attributes service.name and service.instance.id.
    std::string serviceName;
    std::string host;
    // Fraction of root spans that are sampled, from 0 to 1. Spans with a parent use the sampled flag of the parent.
    double samplingRatio { 1 };
    size_t maxQueuedSpans { 4096 };
};

// Delivers one OTLP/HTTP request in JSON, without line breaks. Returns false if the delivery failed.
using SpanExporter = std::function<Core::Task<bool>(std::string json, Core::Deadline, Core::Reason&)>;

// Creates spans and exports them in batches. Spans that end while the queue is full, or whose batch cannot be delivered, are
// dropped and counted. Must outlive its spans and the task of run().
class Tracer {
public:
    Tracer(TracerSettings, SpanExporter);

    // Starts a child span of the parent, or the root span of a new trace.
    Span start(std::string_view name, SpanKind, const std::optional<TraceContext>& parent = std::nullopt);

    // Exports the queued spans.
    Core::Task<void> flush(Core::Deadline);

    // Flushes once per second until stop() is called.
    Core::Task<void> run();
    void stop() { m_isStopped = true; }

    uint64_t exportedSpans() const { return m_exported; }
    uint64_t droppedSpans() const { return m_dropped; }
    size_t queuedSpans() const { return m_queue.size(); }

private:
    friend class Span;

    void enqueue(SpanData);
    uint64_t randomId();
    bool shouldSample();

    TracerSettings m_settings;
    SpanExporter m_exporter;
    // Separate from the generator used for routing choices, which tests may seed identically in all processes.
    std::mt19937_64 m_random;
    std::deque<SpanData> m_queue;
    uint64_t m_exported { 0 };
    uint64_t m_dropped { 0 };
    bool m_isStopped { false };
};

// Encodes the spans as an OTLP ExportTraceServiceRequest in JSON.
std::string encodeSpans(const std::string& serviceName, const std::string& host, const std::vector<SpanData>&);

}
