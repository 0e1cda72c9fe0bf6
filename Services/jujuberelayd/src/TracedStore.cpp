#include "TracedStore.h"

template <typename Result>
static Core::Task<Result> tracedCall(Telemetry::Span span, Core::Task<Result> call, Core::Reason& reason)
{
    Result result = co_await std::move(call);
    if (!result)
        span.setError(reason.text());
    co_return result;
}

static Telemetry::Span startSpan(Telemetry::Tracer& tracer, const char* name, const std::string& object)
{
    Telemetry::Span span = tracer.start(name, Telemetry::SpanKind::Client);
    span.setAttribute("object", object);
    return span;
}

Platform::ObjectStore tracedStore(Platform::ObjectStore store, Telemetry::Tracer& tracer)
{
    Platform::ObjectStore result = store;
    result.get = [&tracer, get = store.get](std::string name, Core::Deadline deadline, Core::Reason& reason) {
        Telemetry::Span span = startSpan(tracer, "platform get", name);
        return tracedCall(std::move(span), get(std::move(name), deadline, reason), reason);
    };
    result.put = [&tracer, put = store.put](std::string name, std::string value, Platform::Version expected, Core::Deadline deadline, Core::Reason& reason) {
        Telemetry::Span span = startSpan(tracer, "platform put", name);
        span.setAttribute("bytes", static_cast<int64_t>(value.size()));
        return tracedCall(std::move(span), put(std::move(name), std::move(value), expected, deadline, reason), reason);
    };
    result.remove = [&tracer, remove = store.remove](std::string name, Platform::Version expected, Core::Deadline deadline, Core::Reason& reason) {
        Telemetry::Span span = startSpan(tracer, "platform remove", name);
        return tracedCall(std::move(span), remove(std::move(name), expected, deadline, reason), reason);
    };
    result.list = [&tracer, list = store.list](std::string prefix, Core::Deadline deadline, Core::Reason& reason) {
        Telemetry::Span span = startSpan(tracer, "platform list", prefix);
        return tracedCall(std::move(span), list(std::move(prefix), deadline, reason), reason);
    };
    return result;
}
