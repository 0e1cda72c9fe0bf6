// Must be included before Criterion, whose macro Test conflicts with Boost.
#include <boost/asio/io_context.hpp>

#include "LibHTTP/Server.h"
#include "LibTelemetry/Exporters.h"
#include <criterion/criterion.h>
#include <fstream>
#include <nlohmann/json.hpp>

using namespace Telemetry;
using nlohmann::json;

namespace {

struct Fixture {
    boost::asio::io_context context;
    std::vector<std::string> exported;
    bool isCollectorDown { false };
    Tracer tracer;

    explicit Fixture(bool isEnabled = true, double samplingRatio = 1)
        : tracer({ isEnabled, "relay", "host", samplingRatio, 1000 }, [this](std::string text, Core::Deadline, Core::Reason&) -> Core::Task<bool> {
            if (!isCollectorDown)
                exported.push_back(text);
            co_return !isCollectorDown;
        })
    {
    }

    void flush(Tracer& flushedTracer)
    {
        Core::spawn(context.get_executor(), "flush", flushedTracer.flush(Core::Deadline::after(std::chrono::seconds(20))));
        context.run();
        context.restart();
    }
};

const std::string validHeader = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

}

// A parsed context must serialize to the same header.
Test(TraceContext, roundTrip)
{
    std::optional<TraceContext> context = TraceContext::parse(validHeader);
    cr_assert(context);
    cr_assert(context->isSampled);
    cr_assert_eq(context->traceIdText(), "0af7651916cd43dd8448eb211c80319c");
    cr_assert_eq(context->spanIdText(), "b7ad6b7169203331");
    cr_assert_eq(context->text(), validHeader);
    cr_assert_not(TraceContext::parse("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00")->isSampled);
    cr_assert(TraceContext::parse("01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-extra"));
}

// Invalid headers must be ignored: they must neither be propagated nor crash the parser.
Test(TraceContext, invalidHeadersAreIgnored)
{
    for (const std::string& header : std::vector<std::string> {
             "",
             validHeader.substr(0, 54),
             validHeader + "-extra",
             validHeader + "x",
             "ff" + validHeader.substr(2),
             "0g" + validHeader.substr(2),
             "01" + validHeader.substr(2) + "extra",
             "00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01",
             "00-00000000000000000000000000000000-b7ad6b7169203331-01",
             "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
             "00_0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
         })
        cr_assert_not(TraceContext::parse(header), "%s", header.c_str());
}

// Exported spans must contain their parent, attributes and error.
Test(Tracer, spansAreExported)
{
    Fixture fixture;
    std::string traceParent;
    {
        Span server = fixture.tracer.start("request", SpanKind::Server, TraceContext::parse(validHeader));
        server.setAttribute("model", "m\xff");
        server.setAttribute("tokens", 12);
        Span client = fixture.tracer.start("dispatch", SpanKind::Client, server.context());
        client.setError("broken");
        traceParent = client.traceParent();
    }
    fixture.flush(fixture.tracer);
    cr_assert_eq(fixture.exported.size(), 1u);
    cr_assert_eq(fixture.exported[0].find('\n'), std::string::npos);
    json request = json::parse(fixture.exported[0]);
    json resource = request["resourceSpans"][0];
    cr_assert_eq(resource["resource"]["attributes"][0]["value"]["stringValue"], "relay");
    json spans = resource["scopeSpans"][0]["spans"];
    cr_assert_eq(spans.size(), 2u);
    json client = spans[0];
    json server = spans[1];
    cr_assert_eq(server["traceId"], "0af7651916cd43dd8448eb211c80319c");
    cr_assert_eq(server["parentSpanId"], "b7ad6b7169203331");
    cr_assert_eq(server["kind"], 2);
    cr_assert_eq(server["attributes"][1]["value"]["intValue"], "12");
    cr_assert_eq(client["parentSpanId"], server["spanId"]);
    cr_assert_eq(client["status"]["code"], 2);
    cr_assert_eq(traceParent, "00-" + client["traceId"].get<std::string>() + "-" + client["spanId"].get<std::string>() + "-01");
    cr_assert(std::stoll(client["startTimeUnixNano"].get<std::string>()) <= std::stoll(client["endTimeUnixNano"].get<std::string>()));
    cr_assert_eq(fixture.tracer.exportedSpans(), 2u);
}

// With tracing disabled or an unsampled trace, the client's trace context must be propagated and no spans recorded.
Test(Tracer, unrecordedSpansPropagateContext)
{
    Fixture disabled(false);
    Span span = disabled.tracer.start("request", SpanKind::Server, TraceContext::parse(validHeader));
    cr_assert_not(span.isRecorded());
    cr_assert_eq(span.traceParent(), validHeader);
    cr_assert(disabled.tracer.start("request", SpanKind::Server).traceParent().empty());
    std::string unsampled = validHeader.substr(0, 54) + "0";
    Fixture on(true);
    Span ignored = on.tracer.start("request", SpanKind::Server, TraceContext::parse(unsampled));
    cr_assert_not(ignored.isRecorded());
    cr_assert_eq(ignored.traceParent(), unsampled);
    Fixture none(true, 0);
    cr_assert_not(none.tracer.start("request", SpanKind::Server).isRecorded());
    span.end();
    cr_assert_eq(disabled.tracer.queuedSpans(), 0u);
}

// The queue must be bounded, and dropped spans must be counted.
Test(Tracer, droppedSpansAreCounted)
{
    Fixture fixture;
    for (int i = 0; i < 1010; ++i)
        fixture.tracer.start("span", SpanKind::Internal);
    cr_assert_eq(fixture.tracer.queuedSpans(), 1000u);
    cr_assert_eq(fixture.tracer.droppedSpans(), 10u);
    fixture.isCollectorDown = true;
    fixture.flush(fixture.tracer);
    cr_assert_eq(fixture.tracer.queuedSpans(), 0u);
    cr_assert_eq(fixture.tracer.droppedSpans(), 1010u);
    cr_assert_eq(fixture.tracer.exportedSpans(), 0u);
}

// A moved span must end only once, and a span must end when another is assigned to it.
Test(Tracer, movedSpansEndOnce)
{
    Fixture fixture;
    {
        Span first = fixture.tracer.start("first", SpanKind::Internal);
        Span moved = std::move(first);
        moved = fixture.tracer.start("second", SpanKind::Internal);
        cr_assert_eq(fixture.tracer.queuedSpans(), 1u);
        moved.end();
    }
    cr_assert_eq(fixture.tracer.queuedSpans(), 2u);
}

// Trace and span IDs must not repeat.
Test(Tracer, idsAreUnique)
{
    Fixture fixture;
    TraceContext first = fixture.tracer.start("a", SpanKind::Internal).context();
    TraceContext second = fixture.tracer.start("b", SpanKind::Internal).context();
    cr_assert(first.isValid() && second.isValid());
    cr_assert_neq(first.traceIdText(), second.traceIdText());
    cr_assert_neq(first.spanId, second.spanId);
}

// Each export must append a separate line, also after the file is reopened, and an invalid path must be reported.
Test(Exporters, file)
{
    char path[] = "/tmp/jujuberelay-spans-XXXXXX";
    cr_assert_geq(mkstemp(path), 0);
    Core::Reason reason;
    Fixture fixture;
    for (int i = 0; i < 2; ++i) {
        std::optional<SpanExporter> exporter = exportToFile(path, reason);
        cr_assert(exporter, "%s", reason.text().c_str());
        Tracer tracer({ true, "relay", "host", 1, 10 }, *exporter);
        tracer.start("span", SpanKind::Internal).end();
        fixture.flush(tracer);
        cr_assert_eq(tracer.exportedSpans(), 1u);
    }
    std::ifstream file(path);
    std::string line;
    int lines = 0;
    for (; std::getline(file, line); ++lines)
        cr_assert(json::parse(line).contains("resourceSpans"));
    cr_assert_eq(lines, 2);
    remove(path);
    cr_assert_not(exportToFile("/nonexistent/directory/file", reason));
    cr_assert_eq(reason.peer, "/nonexistent/directory/file");
}

// Spans that the collector rejects must be counted as dropped, not as exported.
Test(Exporters, post, .timeout = 60)
{
    Fixture fixture;
    unsigned status = 200;
    std::string body;
    HTTP::Server server(fixture.context.get_executor(), [&](HTTP::Request request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        Core::Reason reason;
        body = request.target + request.body;
        co_await writer.send({ status, {}, "" }, reason);
    });
    Core::Reason reason;
    Core::Address address = server.listen({ "127.0.0.1", 0 }, reason).value();
    HTTP::Client client(fixture.context.get_executor());
    Tracer tracer({ true, "relay", "host", 1, 10 }, exportOverHttp(client, address));
    for (unsigned next : { 200u, 503u }) {
        status = next;
        tracer.start("span", SpanKind::Internal).end();
        bool done = false;
        Core::spawn(fixture.context.get_executor(), "flush", [](Tracer& tracer, bool& done) -> Core::Task<void> {
            co_await tracer.flush(Core::Deadline::after(std::chrono::seconds(20)));
            done = true;
        }(tracer, done));
        while (!done)
            fixture.context.run_one();
    }
    cr_assert(body.starts_with("/v1/traces{"));
    cr_assert_eq(tracer.exportedSpans(), 1u);
    cr_assert_eq(tracer.droppedSpans(), 1u);
}
