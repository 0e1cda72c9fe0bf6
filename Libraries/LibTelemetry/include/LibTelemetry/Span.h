#pragma once

#include "LibCore/Deadline.h"
#include "LibTelemetry/TraceContext.h"
#include <memory>
#include <variant>
#include <vector>

namespace Telemetry {

class Tracer;

// Numbers of OTLP.
enum class SpanKind {
    Internal = 1,
    Server = 2,
    Client = 3,
};

struct Attribute {
    std::string name;
    std::variant<std::string, int64_t> value;
    bool operator==(const Attribute&) const = default;
};

// A span that has ended.
struct SpanData {
    TraceContext context;
    // 0 for the first span of a trace.
    uint64_t parentSpanId { 0 };
    std::string name;
    SpanKind kind { SpanKind::Internal };
    int64_t startUnixNs { 0 };
    int64_t endUnixNs { 0 };
    std::vector<Attribute> attributes;
    // Empty: no error.
    std::string error;
    bool operator==(const SpanData&) const = default;
};

// One step of a request. It ends when it is destroyed and must not outlive its tracer. A span that is not recorded
// allocates nothing; it only passes its parent's context on.
class Span {
public:
    Span() = default;
    Span(Span&&) noexcept = default;
    Span& operator=(Span&&) noexcept;
    ~Span() { end(); }

    bool isRecorded() const { return m_data != nullptr; }

    // Ignored beyond 32 attributes; texts are cut at 1 KB.
    void setAttribute(std::string_view name, std::string_view value);
    void setAttribute(std::string_view name, int64_t value);
    void setError(std::string_view message);

    const TraceContext& context() const { return m_context; }
    // The value of traceparent for the next hop; empty when there is no trace.
    std::string traceParent() const { return m_context.isValid() ? m_context.text() : std::string(); }

    void end();

private:
    friend class Tracer;

    Tracer* m_tracer { nullptr };
    TraceContext m_context;
    std::unique_ptr<SpanData> m_data;
    Core::SteadyClock::time_point m_start;
};

}
