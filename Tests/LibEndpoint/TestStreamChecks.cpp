#include "LibEndpoint/EngineClient.h"
#include "LibHTTP/Server.h"
#include "RunTask.h"

using Core::FailureKind;
using Endpoint::EngineStream;

namespace {

const std::string finalEvent = "data: {\"id\":\"s\",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":2}}\n\n";
const std::string doneMarker = "data: [DONE]\n\n";

std::string chunk(const std::string& id, const std::string& content)
{
    return "data: {\"id\":\"" + id + "\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + content + "\"},\"finish_reason\":null}]}\n\n";
}

// An engine that sends the same response to every request.
struct FixedResponseEngine {
    boost::asio::io_context context;
    std::string body;
    size_t chunkBytes { 1 << 20 };
    std::string headerId { "s" };
    unsigned status { 200 };
    HTTP::Server server { context.get_executor(), [this](HTTP::Request, HTTP::ResponseWriter& writer) { return answer(writer); } };
    HTTP::Client client { context.get_executor() };
    Endpoint::EngineClient engines { client };
    Core::Reason reason;
    Core::Address address { server.listen({ "127.0.0.1", 0 }, reason).value() };
    std::string events;
    std::optional<std::unique_ptr<EngineStream>> stream;

    explicit FixedResponseEngine(std::string body)
        : body(std::move(body))
    {
    }

    Core::Task<void> answer(HTTP::ResponseWriter& writer)
    {
        Core::Reason ignored;
        co_await writer.startStream(status, { { "X-Stream-Id", headerId } }, ignored);
        for (size_t position = 0; position < body.size(); position += chunkBytes)
            co_await writer.writeChunk(std::string_view(body).substr(position, chunkBytes), ignored);
        co_await writer.finishStream(ignored);
    }

    Core::Task<bool> dispatchAndRead()
    {
        Core::Deadline deadline = Core::Deadline::after(std::chrono::seconds(30));
        stream = co_await engines.dispatch(address, { "s", "w", 0, "{}", "" }, deadline, {}, reason);
        if (!stream)
            co_return false;
        for (;;) {
            std::optional<std::string> received = co_await (*stream)->readEvents(deadline, reason);
            if (!received || received->empty())
                co_return received.has_value();
            events += *received;
        }
    }

    bool read() { return TestSupport::runTask(context, dispatchAndRead()); }
};

}

// Events must not be lost or merged, whatever byte the network splits them at.
Test(StreamChecks, splitAtAnyByte)
{
    std::string chunks = chunk("s", "a") + ": a comment\n\n" + chunk("s", "b");
    for (size_t chunkBytes : { 1, 2, 7, 61 }) {
        FixedResponseEngine engine(chunks + finalEvent + doneMarker);
        engine.chunkBytes = chunkBytes;
        cr_assert(engine.read(), "%s", engine.reason.text().c_str());
        cr_assert_eq(engine.events, chunks);
        cr_assert((*engine.stream)->usage() == (Endpoint::UsageCount { 1, 2 }));
        cr_assert_eq((*engine.stream)->finalEvent(), finalEvent);
    }
}

// An event of another caller's stream must end the response. Events before it are still delivered.
Test(StreamChecks, foreignIdEndsTheStream)
{
    FixedResponseEngine engine(chunk("s", "a") + chunk("t", "b") + finalEvent + doneMarker);
    cr_assert_not(engine.read());
    cr_assert_eq(engine.reason.kind, FailureKind::OutcomeUnknown);
    cr_assert_eq(engine.events, chunk("s", "a"));
    FixedResponseEngine first(chunk("t", "a") + finalEvent + doneMarker);
    cr_assert_not(first.read());
    FixedResponseEngine last(chunk("s", "a") + "data: {\"id\":\"t\",\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":2}}\n\n" + doneMarker);
    cr_assert_not(last.read());
    FixedResponseEngine longer(chunk("s", "a") + chunk("s2", "b") + finalEvent + doneMarker);
    cr_assert_not(longer.read());
}

// Only the top-level id of an event counts, not an "id" member of a nested object.
Test(StreamChecks, nestedIdIsIgnored)
{
    FixedResponseEngine engine("data: {\"x\":{\"id\":\"s\"},\"id\":\"t\"}\n\n" + finalEvent + doneMarker);
    cr_assert_not(engine.read());
    FixedResponseEngine reordered("data: {\"x\":{\"id\":\"t\"},\"id\":\"s\"}\n\n" + finalEvent + doneMarker);
    cr_assert(reordered.read(), "%s", reordered.reason.text().c_str());
    // The second event has the same bytes as the first one up to the nested id.
    FixedResponseEngine inner("data: {\"x\":{\"id\":\"s\"},\"id\":\"s\"}\n\ndata: {\"x\":{\"id\":\"s\"},\"id\":\"t\"}\n\n" + finalEvent + doneMarker);
    cr_assert_not(inner.read());
}

// A response with another X-Stream-Id, e.g. from a reused connection, must be rejected.
Test(StreamChecks, headerIdMustMatch)
{
    FixedResponseEngine engine(finalEvent + doneMarker);
    engine.headerId = "t";
    cr_assert_not(engine.read());
    cr_assert_eq(engine.reason.kind, FailureKind::OutcomeUnknown);
}

// A truncated response must not be taken for a complete one, nor a response without usage, which cannot be billed.
Test(StreamChecks, streamEndRequiresMarkerAndUsage)
{
    FixedResponseEngine noMarker(chunk("s", "a") + finalEvent);
    cr_assert_not(noMarker.read());
    FixedResponseEngine noUsage(chunk("s", "a") + doneMarker);
    cr_assert_not(noUsage.read());
    FixedResponseEngine badUsage("data: {\"id\":\"s\",\"usage\":{\"prompt_tokens\":-1,\"completion_tokens\":2}}\n\n" + doneMarker);
    cr_assert_not(badUsage.read());
    FixedResponseEngine afterUsage(finalEvent + chunk("s", "a") + doneMarker);
    cr_assert_not(afterUsage.read());
    FixedResponseEngine cutEvent(chunk("s", "a") + "data: {\"id\":\"s\"");
    cr_assert_not(cutEvent.read());
}

// Generated text that looks like a usage member or the end marker must not end the stream.
Test(StreamChecks, contentCannotEndTheStream)
{
    std::string chunks = chunk("s", "\\\"usage\\\":{\\\"prompt_tokens\\\":9,\\\"completion_tokens\\\":9}") + chunk("s", "data: [DONE]\\n\\n");
    FixedResponseEngine engine(chunks + finalEvent + doneMarker);
    cr_assert(engine.read(), "%s", engine.reason.text().c_str());
    cr_assert_eq(engine.events, chunks);
}

// Some engines send "usage": null in each chunk, or end lines with CRLF.
Test(StreamChecks, acceptsNullUsageAndCarriageReturns)
{
    std::string nullUsage = "data: {\"id\":\"s\",\"choices\":[],\"usage\": null}\r\n\r\n";
    FixedResponseEngine engine(nullUsage + nullUsage + "data: {\"id\":\"s\",\"usage\" : {\"prompt_tokens\":1,\"completion_tokens\":2}}\r\n\r\ndata: [DONE]\r\n\r\n");
    cr_assert(engine.read(), "%s", engine.reason.text().c_str());
    cr_assert_eq(engine.events, nullUsage + nullUsage);
}

// The failure kind of each status decides whether the request may be retried elsewhere.
Test(StreamChecks, statusDecidesWhetherItMayHaveRun)
{
    struct Case {
        unsigned status;
        FailureKind kind;
    };
    for (const Case& testCase : { Case { 429, FailureKind::RateLimited }, Case { 503, FailureKind::Refused }, Case { 400, FailureKind::Refused },
             Case { 404, FailureKind::Refused }, Case { 500, FailureKind::OutcomeUnknown }, Case { 502, FailureKind::OutcomeUnknown } }) {
        FixedResponseEngine engine("no");
        engine.status = testCase.status;
        cr_assert_not(engine.read());
        cr_assert_eq(engine.reason.kind, testCase.kind, "status %u gave %s", testCase.status, Core::nameOf(engine.reason.kind));
    }
}
