#include "LibEmulator/AnswerText.h"
#include "LibEmulator/EngineEmulator.h"
#include "LibEndpoint/EngineClient.h"
#include "RunTask.h"
#include <nlohmann/json.hpp>

using Core::FailureKind;
using Emulator::AnswerText;
using Endpoint::EngineStream;

namespace {

// The outcome of reading a stream to its end or to its first failure.
struct StreamResult {
    bool isComplete { false };
    std::string events;
    std::string content;
    Core::Reason reason;
};

std::string contentOf(const std::string& events)
{
    std::string content;
    size_t position = 0;
    while (position < events.size()) {
        size_t end = events.find("\n\n", position);
        nlohmann::json chunk = nlohmann::json::parse(events.substr(position + 6, end - position - 6));
        content += chunk["choices"][0]["delta"].value("content", "");
        position = end + 2;
    }
    return content;
}

Core::Task<StreamResult> readStream(EngineStream& stream)
{
    StreamResult result;
    for (;;) {
        std::optional<std::string> events = co_await stream.readEvents(Core::Deadline::after(std::chrono::seconds(30)), result.reason);
        if (!events || events->empty()) {
            result.isComplete = events.has_value();
            result.content = contentOf(result.events);
            co_return result;
        }
        result.events += *events;
    }
}

struct EndpointFixture {
    boost::asio::io_context context;
    Emulator::EngineEmulator engine;
    HTTP::Client client { context.get_executor() };
    Endpoint::EngineClient engines { client };
    Core::Reason reason;
    Core::Address address;

    static Emulator::EngineSettings fastSettings()
    {
        Emulator::EngineSettings settings;
        settings.prefillMsPer1000Tokens = 0;
        settings.timePerTokenUs = 100;
        settings.loadLagMs = 0;
        return settings;
    }

    EndpointFixture()
        : engine(context.get_executor(), fastSettings())
        , address(engine.listen({ "127.0.0.1", 0 }, reason).value())
    {
    }

    static Endpoint::Dispatch request(const std::string& streamId, const std::string& prompt, int64_t maxTokens)
    {
        nlohmann::json body = { { "model", "m" }, { "messages", { { { "role", "user" }, { "content", prompt } } } }, { "max_tokens", maxTokens }, { "stream", true } };
        return { streamId, "w", 0, body.dump(), "" };
    }

    static Core::Deadline testDeadline() { return Core::Deadline::after(std::chrono::seconds(30)); }

    std::optional<std::unique_ptr<EngineStream>> dispatch(Endpoint::Dispatch dispatch, HTTP::SendGuard guard = {})
    {
        return TestSupport::runTask(context, engines.dispatch(address, std::move(dispatch), testDeadline(), std::move(guard), reason));
    }
};

}

// Events must not be lost, and the final event must not be forwarded before the usage is known.
Test(EngineClient, readsCompleteStreamAndWithholdsFinalEvent)
{
    EndpointFixture fixture;
    AnswerText expected("hello there", 200);
    std::optional<std::unique_ptr<EngineStream>> stream = fixture.dispatch(EndpointFixture::request("s", "hello there", 200));
    cr_assert(stream, "%s", fixture.reason.text().c_str());
    StreamResult result = TestSupport::runTask(fixture.context, readStream(**stream));
    cr_assert(result.isComplete, "%s", result.reason.text().c_str());
    cr_assert_eq(result.content, expected.whole());
    cr_assert_eq((*stream)->eventCount(), static_cast<uint64_t>(expected.length()));
    cr_assert((*stream)->usage() == (Endpoint::UsageCount { 3, expected.length() }));
    cr_assert_eq(result.events.find("usage"), std::string::npos);
    cr_assert_eq(result.events.find("[DONE]"), std::string::npos);
    cr_assert_neq((*stream)->finalEvent().find("\"finish_reason\""), std::string::npos);
}

// The send guard is checked right before sending, since its condition may no longer hold (e.g. outdated intent).
Test(EngineClient, guardPreventsSending)
{
    EndpointFixture fixture;
    cr_assert_not(fixture.dispatch(EndpointFixture::request("s", "p", 5), [] { return false; }));
    cr_assert_eq(fixture.reason.kind, FailureKind::Refused);
    cr_assert(fixture.dispatch(EndpointFixture::request("t", "p", 5), [] { return true; }));
    cr_assert_eq(fixture.engine.runsOf("s"), 0);
}

// A refused request must be reported as not run; otherwise it could not be retried at another endpoint.
Test(EngineClient, refusedAndUnreachableMeanNotRun)
{
    EndpointFixture fixture;
    Emulator::EngineFaults faults;
    faults.refuse = { 1 };
    fixture.engine.setFaults(faults);
    cr_assert_not(fixture.dispatch(EndpointFixture::request("s", "p", 5)));
    cr_assert_eq(fixture.reason.kind, FailureKind::Refused);
    fixture.engine.stop();
    cr_assert_not(fixture.dispatch(EndpointFixture::request("t", "p", 5)));
    cr_assert_eq(fixture.reason.kind, FailureKind::Unavailable);
}

// A stream that breaks off must be reported as a failure, and resuming it must not run the request again.
Test(EngineClient, brokenStreamIsResumedWithoutASecondRun)
{
    EndpointFixture fixture;
    Emulator::EngineFaults faults;
    faults.breakStreams = { 1 };
    faults.breakAfterChunks = 4;
    fixture.engine.setFaults(faults);
    std::optional<std::unique_ptr<EngineStream>> stream = fixture.dispatch(EndpointFixture::request("s", "p", 60));
    cr_assert(stream);
    StreamResult broken = TestSupport::runTask(fixture.context, readStream(**stream));
    cr_assert_not(broken.isComplete);
    cr_assert_eq(broken.reason.kind, FailureKind::OutcomeUnknown);
    cr_assert_eq(broken.content, AnswerText("p", 60).firstTokens(4));
    cr_assert_not((*stream)->usage());
    std::optional<std::unique_ptr<EngineStream>> resumed
        = TestSupport::runTask(fixture.context, fixture.engines.resume(fixture.address, "s", EndpointFixture::testDeadline(), fixture.reason));
    cr_assert(resumed, "%s", fixture.reason.text().c_str());
    StreamResult resumedResult = TestSupport::runTask(fixture.context, readStream(**resumed));
    cr_assert(resumedResult.isComplete);
    cr_assert_eq(resumedResult.content, AnswerText("p", 60).whole());
    cr_assert_eq(fixture.engine.runsOf("s"), 1);
}

// A response that was not read to its end must not be delivered to the next request on a pooled connection.
Test(EngineClient, abandonedStreamDoesNotReachTheNextRequest)
{
    EndpointFixture fixture;
    std::optional<std::unique_ptr<EngineStream>> abandoned = fixture.dispatch(EndpointFixture::request("a", "first", 1000));
    cr_assert(abandoned);
    abandoned.reset();
    std::optional<std::unique_ptr<EngineStream>> next = fixture.dispatch(EndpointFixture::request("b", "second", 20));
    StreamResult result = TestSupport::runTask(fixture.context, readStream(**next));
    cr_assert(result.isComplete);
    cr_assert_eq(result.content, AnswerText("second", 20).whole());
}

// The count returned by cancel must equal the number of generated tokens, since it is billed.
Test(EngineClient, cancelReturnsTheCount)
{
    EndpointFixture fixture;
    std::optional<std::unique_ptr<EngineStream>> stream = fixture.dispatch(EndpointFixture::request("s", "p", 100000));
    TestSupport::runUntil(fixture.context, [&] { return fixture.engine.generatedTokensOf("s") > 3; });
    std::optional<Endpoint::UsageCount> count
        = TestSupport::runTask(fixture.context, fixture.engines.cancel(fixture.address, "s", EndpointFixture::testDeadline(), fixture.reason));
    cr_assert(count, "%s", fixture.reason.text().c_str());
    cr_assert_eq(count->completionTokens, fixture.engine.generatedTokensOf("s"));
    StreamResult result = TestSupport::runTask(fixture.context, readStream(**stream));
    cr_assert_not(result.isComplete);
}

// A missing stream must be distinguishable from an unreachable engine.
Test(EngineClient, unknownStreamIsNotFound)
{
    EndpointFixture fixture;
    cr_assert_not(TestSupport::runTask(fixture.context, fixture.engines.resume(fixture.address, "x", EndpointFixture::testDeadline(), fixture.reason)));
    cr_assert_eq(fixture.reason.kind, FailureKind::NotFound);
    cr_assert_not(TestSupport::runTask(fixture.context, fixture.engines.cancel(fixture.address, "x", EndpointFixture::testDeadline(), fixture.reason)));
    cr_assert_eq(fixture.reason.kind, FailureKind::NotFound);
}

// An engine that does not respond must not block a request beyond its deadline.
Test(EngineClient, silentEngineTimesOutWithUnknownOutcome)
{
    EndpointFixture fixture;
    Emulator::EngineFaults faults;
    faults.stopAnswering = true;
    fixture.engine.setFaults(faults);
    Core::Deadline deadline = Core::Deadline::after(std::chrono::milliseconds(50));
    cr_assert_not(TestSupport::runTask(
        fixture.context, fixture.engines.dispatch(fixture.address, EndpointFixture::request("s", "p", 5), deadline, {}, fixture.reason)));
    cr_assert(fixture.reason.kind == FailureKind::TimedOut || fixture.reason.kind == FailureKind::OutcomeUnknown);
}

// All fields of the load report must be parsed.
Test(EngineClient, readsTheLoadReport)
{
    EndpointFixture fixture;
    std::optional<std::unique_ptr<EngineStream>> stream = fixture.dispatch(EndpointFixture::request("s", "p", 100000));
    std::optional<Endpoint::LoadReport> report
        = TestSupport::runTask(fixture.context, fixture.engines.load(fixture.address, EndpointFixture::testDeadline(), fixture.reason));
    cr_assert(report, "%s", fixture.reason.text().c_str());
    cr_assert((*report == Endpoint::LoadReport { 1, 0, 0 }));
}
