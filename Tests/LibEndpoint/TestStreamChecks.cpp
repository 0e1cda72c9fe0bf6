#include "LibEndpoint/EngineClient.h"
#include "LibHTTP/Server.h"
#include "RunTask.h"

using Core::FailureKind;
using Endpoint::EngineStream;

namespace {

const std::string end = "data: {\"id\":\"s\",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":2}}\n\n";
const std::string done = "data: [DONE]\n\n";

std::string chunk(const std::string& id, const std::string& content)
{
    return "data: {\"id\":\"" + id + "\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + content + "\"},\"finish_reason\":null}]}\n\n";
}

// An engine that answers every request with the same bytes.
struct ScriptedEngine {
    boost::asio::io_context context;
    std::string body;
    size_t pieceBytes { 1 << 20 };
    std::string headerId { "s" };
    unsigned status { 200 };
    HTTP::Server server { context.get_executor(), [this](HTTP::Request, HTTP::ResponseWriter& writer) { return answer(writer); } };
    HTTP::Client client { context.get_executor() };
    Endpoint::EngineClient engines { client };
    Core::Reason reason;
    Core::Address address { server.listen({ "127.0.0.1", 0 }, reason).value() };
    std::string events;
    std::optional<std::unique_ptr<EngineStream>> stream;

    explicit ScriptedEngine(std::string body)
        : body(std::move(body))
    {
    }

    Core::Task<void> answer(HTTP::ResponseWriter& writer)
    {
        Core::Reason ignored;
        co_await writer.startStream(status, { { "X-Stream-Id", headerId } }, ignored);
        for (size_t position = 0; position < body.size(); position += pieceBytes)
            co_await writer.writeChunk(std::string_view(body).substr(position, pieceBytes), ignored);
        co_await writer.finishStream(ignored);
    }

    Core::Task<bool> dispatchAndRead()
    {
        Core::Deadline deadline = Core::Deadline::after(std::chrono::seconds(30));
        stream = co_await engines.dispatch(address, { "s", "w", 0, "{}", "" }, deadline, {}, reason);
        if (!stream)
            co_return false;
        for (;;) {
            std::optional<std::string> piece = co_await (*stream)->readEvents(deadline, reason);
            if (!piece || piece->empty())
                co_return piece.has_value();
            events += *piece;
        }
    }

    bool read() { return TestSupport::runTask(context, dispatchAndRead()); }
};

}

// Guards against events that are lost or merged when the network splits them at any byte.
Test(StreamChecks, splitAtAnyByte)
{
    std::string chunks = chunk("s", "a") + ": a comment\n\n" + chunk("s", "b");
    for (size_t pieceBytes : { 1, 2, 7, 61 }) {
        ScriptedEngine engine(chunks + end + done);
        engine.pieceBytes = pieceBytes;
        cr_assert(engine.read(), "%s", engine.reason.text().c_str());
        cr_assert_eq(engine.events, chunks);
        cr_assert((*engine.stream)->usage() == (Endpoint::UsageCount { 1, 2 }));
        cr_assert_eq((*engine.stream)->finalEvent(), end);
    }
}

// Guards against another caller's answer inside a stream. What came before the foreign event is still delivered.
Test(StreamChecks, foreignIdentityEndsTheAnswer)
{
    ScriptedEngine engine(chunk("s", "a") + chunk("t", "b") + end + done);
    cr_assert_not(engine.read());
    cr_assert_eq(engine.reason.kind, FailureKind::OutcomeUnknown);
    cr_assert_eq(engine.events, chunk("s", "a"));
    ScriptedEngine first(chunk("t", "a") + end + done);
    cr_assert_not(first.read());
    ScriptedEngine last(chunk("s", "a") + "data: {\"id\":\"t\",\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":2}}\n\n" + done);
    cr_assert_not(last.read());
    ScriptedEngine longer(chunk("s", "a") + chunk("s2", "b") + end + done);
    cr_assert_not(longer.read());
}

// Guards against an identity that is found in the content instead of the event.
Test(StreamChecks, identityInContentDoesNotCount)
{
    ScriptedEngine engine("data: {\"x\":{\"id\":\"s\"},\"id\":\"t\"}\n\n" + end + done);
    cr_assert_not(engine.read());
    ScriptedEngine reordered("data: {\"x\":{\"id\":\"t\"},\"id\":\"s\"}\n\n" + end + done);
    cr_assert(reordered.read(), "%s", reordered.reason.text().c_str());
    // The second event equals the first up to an inner identity.
    ScriptedEngine inner("data: {\"x\":{\"id\":\"s\"},\"id\":\"s\"}\n\ndata: {\"x\":{\"id\":\"s\"},\"id\":\"t\"}\n\n" + end + done);
    cr_assert_not(inner.read());
}

// Guards against a response of another stream on a reused connection.
Test(StreamChecks, headerIdentityMustMatch)
{
    ScriptedEngine engine(end + done);
    engine.headerId = "t";
    cr_assert_not(engine.read());
    cr_assert_eq(engine.reason.kind, FailureKind::OutcomeUnknown);
}

// Guards against a truncated answer that looks whole, and a whole one without a bill.
Test(StreamChecks, endNeedsMarkerAndUsage)
{
    ScriptedEngine noMarker(chunk("s", "a") + end);
    cr_assert_not(noMarker.read());
    ScriptedEngine noUsage(chunk("s", "a") + done);
    cr_assert_not(noUsage.read());
    ScriptedEngine badUsage("data: {\"id\":\"s\",\"usage\":{\"prompt_tokens\":-1,\"completion_tokens\":2}}\n\n" + done);
    cr_assert_not(badUsage.read());
    ScriptedEngine afterUsage(end + chunk("s", "a") + done);
    cr_assert_not(afterUsage.read());
    ScriptedEngine cutEvent(chunk("s", "a") + "data: {\"id\":\"s\"");
    cr_assert_not(cutEvent.read());
}

// Guards against generated text that looks like the end of the stream.
Test(StreamChecks, contentCannotEndTheStream)
{
    std::string chunks = chunk("s", "\\\"usage\\\":{\\\"prompt_tokens\\\":9,\\\"completion_tokens\\\":9}") + chunk("s", "data: [DONE]\\n\\n");
    ScriptedEngine engine(chunks + end + done);
    cr_assert(engine.read(), "%s", engine.reason.text().c_str());
    cr_assert_eq(engine.events, chunks);
}

// Guards against engines that send "usage": null in each chunk, and against line ends with a carriage return.
Test(StreamChecks, acceptsNullUsageAndCarriageReturns)
{
    std::string nullUsage = "data: {\"id\":\"s\",\"choices\":[],\"usage\": null}\r\n\r\n";
    ScriptedEngine engine(nullUsage + nullUsage + "data: {\"id\":\"s\",\"usage\" : {\"prompt_tokens\":1,\"completion_tokens\":2}}\r\n\r\ndata: [DONE]\r\n\r\n");
    cr_assert(engine.read(), "%s", engine.reason.text().c_str());
    cr_assert_eq(engine.events, nullUsage + nullUsage);
}

// Guards against statuses whose meaning for a retry is wrong.
Test(StreamChecks, statusDecidesWhetherItMayHaveRun)
{
    struct Case {
        unsigned status;
        FailureKind kind;
    };
    for (const Case& example : { Case { 429, FailureKind::RateLimited }, Case { 503, FailureKind::Refused }, Case { 400, FailureKind::Refused },
             Case { 404, FailureKind::Refused }, Case { 500, FailureKind::OutcomeUnknown }, Case { 502, FailureKind::OutcomeUnknown } }) {
        ScriptedEngine engine("no");
        engine.status = example.status;
        cr_assert_not(engine.read());
        cr_assert_eq(engine.reason.kind, example.kind, "status %u gave %s", example.status, Core::nameOf(engine.reason.kind));
    }
}
