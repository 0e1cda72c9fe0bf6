#pragma once

#include "LibCaller/Hooks.h"
#include "LibCaller/RequestIdentity.h"
#include "LibTelemetry/Span.h"

namespace Caller {

// Starts a span of one step of the request below the request's own span, with the request's identity. Without a trace
// of the request nothing is recorded.
Telemetry::Span startRequestSpan(const Hooks&, const RequestIdentity&, std::string_view name, Telemetry::SpanKind);

// The traceparent for an endpoint: of the span or, where it is not recorded, of the request. Empty: no trace.
std::string traceParentOf(const Telemetry::Span&, const RequestIdentity&);

}
