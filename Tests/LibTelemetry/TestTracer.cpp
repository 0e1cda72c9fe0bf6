// Boost's headers come before Criterion's, whose macro Test they would expand.
#include <boost/asio/io_context.hpp>

#include "LibHTTP/Server.h"
#include "LibTelemetry/Exporters.h"
#include <criterion/criterion.h>
#include <fstream>
#include <nlohmann/json.hpp>

using namespace Telemetry;
using nlohmann::json;

namespace {

struct Setup {
    boost::asio::io_context context;
    std::vector<std::string> exported;
    bool isCollectorDown { false };
    Tracer tracer;

    explicit Setup(bool isEnabled = true, double sampledShare = 1)
        : tracer({ isEnabled, "relay", "host", sampledShare, 1000 }, [this](std::string text, Core::Deadline, Core::Reason&) -> Core::Task<bool> {
            if (!isCollectorDown)
                exported.push_back(text);
            co_return !isCollectorDown;
        })
    {
    }

    void flush(Tracer& flushed)
    {
        Core::spawn(context.get_executor(), "flush", flushed.flush(Core::Deadline::after(std::chrono::seconds(20))));
        context.run();
        context.restart();
    }
};

const std::string validHeader = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

}

// Guards against contexts that change on the way through the relay.
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

// Guards against invalid headers that are passed on or crash the parser.
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

// Guards against spans that lose their parent, their attributes or their error on the way to the collector.
Test(Tracer, spansAreExported)
{
    Setup setup;
    std::string traceParent;
    {
        Span server = setup.tracer.start("request", SpanKind::Server, TraceContext::parse(validHeader));
        server.setAttribute("model", "m\xff");
        server.setAttribute("tokens", 12);
        Span client = setup.tracer.start("dispatch", SpanKind::Client, server.context());
        client.setError("broken");
        traceParent = client.traceParent();
    }
    setup.flush(setup.tracer);
    cr_assert_eq(setup.exported.size(), 1u);
    cr_assert_eq(setup.exported[0].find('\n'), std::string::npos);
    json request = json::parse(setup.exported[0]);
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
    cr_assert_eq(setup.tracer.exportedSpans(), 2u);
}

// Guards against a relay without tracing, or an unsampled trace, that breaks the caller's trace or records spans.
Test(Tracer, unrecordedSpansPassTheContextOn)
{
    Setup off(false);
    Span span = off.tracer.start("request", SpanKind::Server, TraceContext::parse(validHeader));
    cr_assert_not(span.isRecorded());
    cr_assert_eq(span.traceParent(), validHeader);
    cr_assert(off.tracer.start("request", SpanKind::Server).traceParent().empty());
    std::string unsampled = validHeader.substr(0, 54) + "0";
    Setup on(true);
    Span ignored = on.tracer.start("request", SpanKind::Server, TraceContext::parse(unsampled));
    cr_assert_not(ignored.isRecorded());
    cr_assert_eq(ignored.traceParent(), unsampled);
    Setup none(true, 0);
    cr_assert_not(none.tracer.start("request", SpanKind::Server).isRecorded());
    span.end();
    cr_assert_eq(off.tracer.queuedSpans(), 0u);
}

// Guards against a queue without bound, and against drops that are not counted.
Test(Tracer, dropsAreCounted)
{
    Setup setup;
    for (int i = 0; i < 1010; ++i)
        setup.tracer.start("span", SpanKind::Internal);
    cr_assert_eq(setup.tracer.queuedSpans(), 1000u);
    cr_assert_eq(setup.tracer.droppedSpans(), 10u);
    setup.isCollectorDown = true;
    setup.flush(setup.tracer);
    cr_assert_eq(setup.tracer.queuedSpans(), 0u);
    cr_assert_eq(setup.tracer.droppedSpans(), 1010u);
    cr_assert_eq(setup.tracer.exportedSpans(), 0u);
}

// Guards against spans that end twice after a move, or never when another takes their place.
Test(Tracer, movedSpansEndOnce)
{
    Setup setup;
    {
        Span first = setup.tracer.start("first", SpanKind::Internal);
        Span moved = std::move(first);
        moved = setup.tracer.start("second", SpanKind::Internal);
        cr_assert_eq(setup.tracer.queuedSpans(), 1u);
        moved.end();
    }
    cr_assert_eq(setup.tracer.queuedSpans(), 2u);
}

// Guards against span identities that repeat.
Test(Tracer, identitiesDiffer)
{
    Setup setup;
    TraceContext first = setup.tracer.start("a", SpanKind::Internal).context();
    TraceContext second = setup.tracer.start("b", SpanKind::Internal).context();
    cr_assert(first.isValid() && second.isValid());
    cr_assert_neq(first.traceIdText(), second.traceIdText());
    cr_assert_neq(first.spanId, second.spanId);
}

// Guards against lines in the file that are joined or overwritten, and against a path that fails silently.
Test(Exporters, file)
{
    char path[] = "/tmp/jujuberelay-spans-XXXXXX";
    cr_assert_geq(mkstemp(path), 0);
    Core::Reason reason;
    Setup setup;
    for (int i = 0; i < 2; ++i) {
        std::optional<Export> exportHook = exportToFile(path, reason);
        cr_assert(exportHook, "%s", reason.text().c_str());
        Tracer tracer({ true, "relay", "host", 1, 10 }, *exportHook);
        tracer.start("span", SpanKind::Internal).end();
        setup.flush(tracer);
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

// Guards against a collector's refusal that is counted as delivered.
Test(Exporters, post, .timeout = 60)
{
    Setup setup;
    unsigned status = 200;
    std::string body;
    HTTP::Server server(setup.context.get_executor(), [&](HTTP::Request request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        Core::Reason reason;
        body = request.target + request.body;
        co_await writer.send({ status, {}, "" }, reason);
    });
    Core::Reason reason;
    Core::Address address = server.listen({ "127.0.0.1", 0 }, reason).value();
    HTTP::Client client(setup.context.get_executor());
    Tracer tracer({ true, "relay", "host", 1, 10 }, exportByPost(client, address));
    for (unsigned next : { 200u, 503u }) {
        status = next;
        tracer.start("span", SpanKind::Internal).end();
        bool done = false;
        Core::spawn(setup.context.get_executor(), "flush", [](Tracer& tracer, bool& done) -> Core::Task<void> {
            co_await tracer.flush(Core::Deadline::after(std::chrono::seconds(20)));
            done = true;
        }(tracer, done));
        while (!done)
            setup.context.run_one();
    }
    cr_assert(body.starts_with("/v1/traces{"));
    cr_assert_eq(tracer.exportedSpans(), 1u);
    cr_assert_eq(tracer.droppedSpans(), 1u);
}
