#include "RequestSpan.h"

namespace Caller {

Telemetry::Span startRequestSpan(const Hooks& hooks, const RequestIdentity& identity, std::string_view name, Telemetry::SpanKind kind)
{
    if (!identity.trace.isValid())
        return {};
    Telemetry::Span span = hooks.startSpan(name, kind, identity.trace);
    span.setAttribute("request.id", identity.requestId);
    return span;
}

std::string traceParentOf(const Telemetry::Span& span, const RequestIdentity& identity)
{
    if (span.isRecorded())
        return span.traceParent();
    return identity.trace.isValid() ? identity.trace.text() : std::string();
}

}
