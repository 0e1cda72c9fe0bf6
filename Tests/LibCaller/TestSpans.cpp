#include "CallerFixture.h"
#include "LibTelemetry/Tracer.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using nlohmann::json;

static const char* const parentHeader = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

// Collects the spans of the fixture's requests in memory.
struct SpanFixture {
    explicit SpanFixture(bool isEnabled)
        : tracer({ isEnabled, "relay", "entry-1", 1, 100 }, [this](std::string text, Core::Deadline, Core::Reason&) -> Core::Task<bool> {
            exported = json::parse(text);
            co_return true;
        })
    {
        fixture.hooks.startSpan = [this](std::string_view name, Telemetry::SpanKind kind, const std::optional<Telemetry::TraceContext>& parent) { return tracer.start(name, kind, parent); };
    }

    Core::Task<bool> flush()
    {
        co_await tracer.flush(Core::Deadline::never());
        co_return true;
    }

    // Flushes the tracer and returns the spans by name.
    std::map<std::string, json> spans()
    {
        TestSupport::runTask(fixture.context, flush());
        std::map<std::string, json> result;
        if (exported.is_null())
            return result;
        for (const json& span : exported["resourceSpans"][0]["scopeSpans"][0]["spans"])
            result[span["name"]] = span;
        return result;
    }

    json exported;
    Telemetry::Tracer tracer;
    CallerFixture fixture;
};

static std::string attribute(const json& span, const char* name)
{
    for (const json& item : span["attributes"]) {
        if (item["key"] == name)
            return item["value"].value("stringValue", "");
    }
    return "";
}

// Guards against steps that are missing from a trace, have a wrong parent, or lack the request id.
Test(Spans, stepsOfAChatRequestAreChildrenOfTheCallerSpan)
{
    SpanFixture spanFixture(true);
    HTTP::Request request = CallerFixture::chatRequest(false);
    request.headers.push_back({ "traceparent", parentHeader });
    std::optional<HTTP::Response> response = spanFixture.fixture.call(std::move(request));
    cr_assert(response);
    std::map<std::string, json> spans = spanFixture.spans();
    cr_assert_eq(spans["caller"].value("parentSpanId", ""), "b7ad6b7169203331");
    for (const char* name : { "caller", "budget", "queue", "witness open", "endpoint", "witness close" }) {
        cr_assert(spans.contains(name), "no span %s", name);
        cr_assert_eq(spans[name].value("traceId", ""), "0af7651916cd43dd8448eb211c80319c");
        cr_assert_eq(attribute(spans[name], "request.id"), HTTP::findHeader(response->headers, "X-Request-Id").value_or("none"));
        if (std::string(name) != "caller")
            cr_assert_eq(spans[name].value("parentSpanId", ""), spans["caller"].value("spanId", "none"));
    }
}

// Guards against endpoints that start a new trace, or that receive the caller's span as parent instead of the daemon's.
Test(Spans, endpointsReceiveTheEndpointSpanAsParent)
{
    for (bool isEnabled : { true, false }) {
        SpanFixture spanFixture(isEnabled);
        CallerFixture& fixture = spanFixture.fixture;
        std::vector<std::string> received;
        HTTP::Server endpoint(fixture.context.get_executor(), [&received](HTTP::Request request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
            Core::Reason ignored;
            received.push_back(HTTP::findHeader(request.headers, "traceparent").value_or("none"));
            co_await writer.send({ 503, {}, "" }, ignored);
        });
        Core::Reason reason;
        fixture.engineAddress = fixture.serviceAddress = endpoint.listen({ "127.0.0.1", 0 }, reason).value();
        for (HTTP::Request request : { CallerFixture::chatRequest(false), CallerFixture::serviceRequest("/services/stock/a") }) {
            request.headers.push_back({ "traceparent", parentHeader });
            cr_assert(fixture.call(std::move(request)));
            std::string spanId = isEnabled ? spanFixture.spans()["endpoint"].value("spanId", "none") : "b7ad6b7169203331";
            cr_assert_eq(received.back(), "00-0af7651916cd43dd8448eb211c80319c-" + spanId + "-01", "%s", received.back().c_str());
        }
        cr_assert_eq(received.size(), 2u);
    }
}

// Guards against a failed step whose span has no error status.
Test(Spans, refusedHoldSetsErrorStatus)
{
    SpanFixture spanFixture(true);
    spanFixture.fixture.availableTokens = 1;
    cr_assert(spanFixture.fixture.call(CallerFixture::chatRequest(false)));
    std::map<std::string, json> spans = spanFixture.spans();
    cr_assert(spans["budget"].contains("status"));
    cr_assert_not(spans.contains("endpoint"));
}

// Guards against spans that are recorded without a trace file.
Test(Spans, disabledTracerRecordsNothing)
{
    SpanFixture spanFixture(false);
    cr_assert(spanFixture.fixture.call(CallerFixture::chatRequest(false)));
    cr_assert_eq(spanFixture.tracer.queuedSpans(), 0u);
}
