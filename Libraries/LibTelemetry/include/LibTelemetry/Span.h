#pragma once

#include "LibCore/Deadline.h"
#include "LibTelemetry/TraceContext.h"
#include <memory>
#include <variant>
#include <vector>

namespace Telemetry {

class Tracer;

// The values are those of OTLP.
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
    // 0 for the root span of a trace.
    uint64_t parentSpanId { 0 };
    std::string name;
    SpanKind kind { SpanKind::Internal };
    int64_t startUnixNs { 0 };
    int64_t endUnixNs { 0 };
    std::vector<Attribute> attributes;
    // Empty if the span has no error.
    std::string error;
    bool operator==(const SpanData&) const = default;
};

// An operation within a trace. The span ends when it is destroyed and must not outlive its tracer. A span that is not
// recorded allocates nothing and only propagates the context of its parent.
class Span {
public:
    Span() = default;
    Span(Span&&) noexcept = default;
    Span& operator=(Span&&) noexcept;
    ~Span() { end(); }

    bool isRecorded() const { return m_data != nullptr; }

    // Attributes beyond the first 32 are dropped, and strings are truncated to 1 KiB.
    void setAttribute(std::string_view name, std::string_view value);
    void setAttribute(std::string_view name, int64_t value);
    void setError(std::string_view message);

    const TraceContext& context() const { return m_context; }
    // Returns the traceparent header for outgoing requests, or an empty string if there is no trace.
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
