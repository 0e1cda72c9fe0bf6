#pragma once

#include "LibCaller/Hooks.h"
#include "LibCaller/RequestIdentity.h"
#include "LibTelemetry/Span.h"

namespace Caller {

// Starts a child span of the request's span for one step, with the request id as an attribute. Records nothing if the
// request is not traced.
Telemetry::Span startRequestSpan(const Hooks&, const RequestIdentity&, std::string_view name, Telemetry::SpanKind);

// Returns the traceparent header for an endpoint: that of the span or, if the span is not recorded, of the request. Empty
// if there is no trace.
std::string traceParentOf(const Telemetry::Span&, const RequestIdentity&);

}
