#include "LibTelemetry/Tracer.h"

#include "LibCore/EventLog.h"

namespace Telemetry {

static constexpr Core::Event exportFailed { 1501, Core::Severity::Warning, "span_export_failed" };

// 512 spans are about 250 kB of JSON.
static constexpr size_t batchSize = 512;
static constexpr std::chrono::seconds flushInterval(1);
static constexpr std::chrono::seconds exportTimeout(5);

static std::mt19937_64 seededGenerator()
{
    std::random_device device;
    std::seed_seq seeds { device(), device(), device(), device() };
    return std::mt19937_64(seeds);
}

Tracer::Tracer(TracerSettings settings, SpanExporter exporter)
    : m_settings(std::move(settings))
    , m_exporter(std::move(exporter))
    , m_random(seededGenerator())
{
}

// 0 is not a valid ID.
uint64_t Tracer::randomId()
{
    uint64_t id = 0;
    while (id == 0)
        id = m_random();
    return id;
}

bool Tracer::shouldSample()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < m_settings.samplingRatio;
}

Span Tracer::start(std::string_view name, SpanKind kind, const std::optional<TraceContext>& parent)
{
    Span span;
    if (parent)
        span.m_context = *parent;
    bool isRecorded = m_settings.isEnabled && (parent ? parent->isSampled : shouldSample());
    if (!isRecorded)
        return span;
    if (!parent)
        span.m_context = { randomId(), randomId(), 0, true };
    uint64_t parentSpanId = span.m_context.spanId;
    span.m_context.spanId = randomId();
    int64_t now = std::chrono::nanoseconds(std::chrono::system_clock::now().time_since_epoch()).count();
    span.m_tracer = this;
    span.m_start = Core::SteadyClock::now();
    span.m_data = std::make_unique<SpanData>(SpanData { span.m_context, parentSpanId, std::string(name), kind, now, now, {}, {} });
    return span;
}

void Tracer::enqueue(SpanData data)
{
    if (m_queue.size() >= m_settings.maxQueuedSpans) {
        ++m_dropped;
        return;
    }
    m_queue.push_back(std::move(data));
}

Core::Task<void> Tracer::flush(Core::Deadline deadline)
{
    size_t remaining = m_queue.size();
    while (remaining > 0 && !m_queue.empty()) {
        size_t size = std::min({ remaining, batchSize, m_queue.size() });
        auto end = m_queue.begin() + static_cast<ptrdiff_t>(size);
        std::vector<SpanData> batch(std::make_move_iterator(m_queue.begin()), std::make_move_iterator(end));
        m_queue.erase(m_queue.begin(), end);
        remaining -= size;
        Core::Reason reason;
        std::string json = encodeSpans(m_settings.serviceName, m_settings.host, batch);
        if (co_await m_exporter(std::move(json), deadline, reason)) {
            m_exported += size;
            continue;
        }
        m_dropped += size;
        Core::logEvent(exportFailed, std::to_string(size) + " spans dropped: " + reason.text());
    }
}

Core::Task<void> Tracer::run()
{
    while (!m_isStopped) {
        co_await Core::sleepUntil(Core::Deadline::after(flushInterval));
        co_await flush(Core::Deadline::after(exportTimeout));
    }
}

}
