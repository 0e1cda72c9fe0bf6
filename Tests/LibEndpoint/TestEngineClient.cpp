#include "LibEmulator/AnswerText.h"
#include "LibEmulator/EngineEmulator.h"
#include "LibEndpoint/EngineClient.h"
#include "RunTask.h"
#include <nlohmann/json.hpp>

using Core::FailureKind;
using Emulator::AnswerText;
using Endpoint::EngineStream;

namespace {

// What reading a stream to its end gave.
struct Reading {
    bool isWhole { false };
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

Core::Task<Reading> readStream(EngineStream& stream)
{
    Reading reading;
    for (;;) {
        std::optional<std::string> events = co_await stream.readEvents(Core::Deadline::after(std::chrono::seconds(30)), reading.reason);
        if (!events || events->empty()) {
            reading.isWhole = events.has_value();
            reading.content = contentOf(reading.events);
            co_return reading;
        }
        reading.events += *events;
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

    static Core::Deadline soon() { return Core::Deadline::after(std::chrono::seconds(30)); }

    std::optional<std::unique_ptr<EngineStream>> dispatch(Endpoint::Dispatch dispatch, HTTP::SendGuard guard = {})
    {
        return TestSupport::runTask(context, engines.dispatch(address, std::move(dispatch), soon(), std::move(guard), reason));
    }
};

}

// Guards against lost events, and against an end that is forwarded before the bill is known.
Test(EngineClient, readsAWholeStreamAndWithholdsItsEnd)
{
    EndpointFixture fixture;
    AnswerText expected("hello there", 200);
    std::optional<std::unique_ptr<EngineStream>> stream = fixture.dispatch(EndpointFixture::request("s", "hello there", 200));
    cr_assert(stream, "%s", fixture.reason.text().c_str());
    Reading reading = TestSupport::runTask(fixture.context, readStream(**stream));
    cr_assert(reading.isWhole, "%s", reading.reason.text().c_str());
    cr_assert_eq(reading.content, expected.whole());
    cr_assert_eq((*stream)->eventCount(), static_cast<uint64_t>(expected.length()));
    cr_assert((*stream)->usage() == (Endpoint::UsageCount { 3, expected.length() }));
    cr_assert_eq(reading.events.find("usage"), std::string::npos);
    cr_assert_eq(reading.events.find("[DONE]"), std::string::npos);
    cr_assert_neq((*stream)->finalEvent().find("\"finish_reason\""), std::string::npos);
}

// Guards against a request that is sent after its condition ceased to hold, for example on outdated intent.
Test(EngineClient, guardStopsTheRequest)
{
    EndpointFixture fixture;
    cr_assert_not(fixture.dispatch(EndpointFixture::request("s", "p", 5), [] { return false; }));
    cr_assert_eq(fixture.reason.kind, FailureKind::Refused);
    cr_assert(fixture.dispatch(EndpointFixture::request("t", "p", 5), [] { return true; }));
    cr_assert_eq(fixture.engine.runsOf("s"), 0);
}

// Guards against a refusal that is reported as possibly run, which would forbid a retry elsewhere.
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

// Guards against a broken stream that is taken for whole, and against a retry that runs again.
Test(EngineClient, brokenStreamIsResumedWithoutASecondRun)
{
    EndpointFixture fixture;
    Emulator::EngineFaults faults;
    faults.breakStreams = { 1 };
    faults.breakAfterChunks = 4;
    fixture.engine.setFaults(faults);
    std::optional<std::unique_ptr<EngineStream>> stream = fixture.dispatch(EndpointFixture::request("s", "p", 60));
    cr_assert(stream);
    Reading broken = TestSupport::runTask(fixture.context, readStream(**stream));
    cr_assert_not(broken.isWhole);
    cr_assert_eq(broken.reason.kind, FailureKind::OutcomeUnknown);
    cr_assert_eq(broken.content, AnswerText("p", 60).firstTokens(4));
    cr_assert_not((*stream)->usage());
    std::optional<std::unique_ptr<EngineStream>> resumed
        = TestSupport::runTask(fixture.context, fixture.engines.resume(fixture.address, "s", EndpointFixture::soon(), fixture.reason));
    cr_assert(resumed, "%s", fixture.reason.text().c_str());
    Reading whole = TestSupport::runTask(fixture.context, readStream(**resumed));
    cr_assert(whole.isWhole);
    cr_assert_eq(whole.content, AnswerText("p", 60).whole());
    cr_assert_eq(fixture.engine.runsOf("s"), 1);
}

// Guards against an abandoned connection that hands its answer to the next request.
Test(EngineClient, abandonedStreamDoesNotReachTheNextRequest)
{
    EndpointFixture fixture;
    std::optional<std::unique_ptr<EngineStream>> abandoned = fixture.dispatch(EndpointFixture::request("a", "first", 1000));
    cr_assert(abandoned);
    abandoned.reset();
    std::optional<std::unique_ptr<EngineStream>> next = fixture.dispatch(EndpointFixture::request("b", "second", 20));
    Reading reading = TestSupport::runTask(fixture.context, readStream(**next));
    cr_assert(reading.isWhole);
    cr_assert_eq(reading.content, AnswerText("second", 20).whole());
}

// Guards against a cancel whose count differs from what the engine generated.
Test(EngineClient, cancelReturnsTheCount)
{
    EndpointFixture fixture;
    std::optional<std::unique_ptr<EngineStream>> stream = fixture.dispatch(EndpointFixture::request("s", "p", 100000));
    TestSupport::runUntil(fixture.context, [&] { return fixture.engine.generatedTokensOf("s") > 3; });
    std::optional<Endpoint::UsageCount> count
        = TestSupport::runTask(fixture.context, fixture.engines.cancel(fixture.address, "s", EndpointFixture::soon(), fixture.reason));
    cr_assert(count, "%s", fixture.reason.text().c_str());
    cr_assert_eq(count->completionTokens, fixture.engine.generatedTokensOf("s"));
    Reading reading = TestSupport::runTask(fixture.context, readStream(**stream));
    cr_assert_not(reading.isWhole);
}

// Guards against an unknown stream that is mistaken for an unreachable engine.
Test(EngineClient, unknownStreamIsNotFound)
{
    EndpointFixture fixture;
    cr_assert_not(TestSupport::runTask(fixture.context, fixture.engines.resume(fixture.address, "x", EndpointFixture::soon(), fixture.reason)));
    cr_assert_eq(fixture.reason.kind, FailureKind::NotFound);
    cr_assert_not(TestSupport::runTask(fixture.context, fixture.engines.cancel(fixture.address, "x", EndpointFixture::soon(), fixture.reason)));
    cr_assert_eq(fixture.reason.kind, FailureKind::NotFound);
}

// Guards against an engine that is silent past the deadline and keeps a request waiting.
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

// Guards against a load report that is misread.
Test(EngineClient, readsTheLoadReport)
{
    EndpointFixture fixture;
    std::optional<std::unique_ptr<EngineStream>> stream = fixture.dispatch(EndpointFixture::request("s", "p", 100000));
    std::optional<Endpoint::LoadReport> report
        = TestSupport::runTask(fixture.context, fixture.engines.load(fixture.address, EndpointFixture::soon(), fixture.reason));
    cr_assert(report, "%s", fixture.reason.text().c_str());
    cr_assert((*report == Endpoint::LoadReport { 1, 0, 0 }));
}
