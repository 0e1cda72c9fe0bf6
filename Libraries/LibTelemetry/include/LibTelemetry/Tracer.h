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
    // The service and the host that the spans are attributed to.
    std::string serviceName;
    std::string host;
    // Share of the traces begun here that is recorded, from 0 to 1. Requests with a traceparent follow its flag.
    double sampledShare { 1 };
    size_t maxQueuedSpans { 4096 };
};

// Takes one request of OTLP/HTTP in JSON, without line breaks; false when it could not be delivered.
using Export = std::function<Core::Task<bool>(std::string json, Core::Deadline, Core::Reason&)>;

// Makes spans and exports them in batches. A span that ends while the queue is full, or whose batch cannot be
// delivered, is dropped and counted. Must outlive its spans and its task.
class Tracer {
public:
    Tracer(TracerSettings, Export);

    // Starts a span below the parent, or a new trace.
    Span start(std::string_view name, SpanKind, const std::optional<TraceContext>& parent = std::nullopt);

    // Exports what is queued.
    Core::Task<void> flush(Core::Deadline);

    // Flushes every second until stopped.
    Core::Task<void> run();
    void stop() { m_isStopped = true; }

    uint64_t exportedSpans() const { return m_exported; }
    uint64_t droppedSpans() const { return m_dropped; }
    size_t queuedSpans() const { return m_queue.size(); }

private:
    friend class Span;

    void enqueue(SpanData);
    uint64_t randomNumber();
    bool isSampled();

    TracerSettings m_settings;
    Export m_export;
    // Independent of the generator for choices, which tests may seed alike in all processes.
    std::mt19937_64 m_random;
    std::deque<SpanData> m_queue;
    uint64_t m_exported { 0 };
    uint64_t m_dropped { 0 };
    bool m_isStopped { false };
};

// One ExportTraceServiceRequest in JSON.
std::string encodeSpans(const std::string& serviceName, const std::string& host, const std::vector<SpanData>&);

}
