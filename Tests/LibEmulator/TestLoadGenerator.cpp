#include "EngineFixture.h"
#include "LatencyHistogram.h"
#include "LibEmulator/LoadGenerator.h"
#include "LibHTTP/Server.h"
#include "ReceivedAnswer.h"
#include <map>

using Emulator::AnswerText;
using Emulator::LoadResult;
using Emulator::LoadSettings;
using Emulator::ReceivedAnswer;

static LoadResult runLoad(boost::asio::io_context& context, const LoadSettings& settings)
{
    Emulator::LoadGenerator generator(context.get_executor(), settings);
    return TestSupport::runTask(context, generator.run());
}

static LoadSettings loadSettingsFor(const EngineFixture& fixture)
{
    LoadSettings settings;
    settings.targets = { fixture.address };
    settings.targetsAreEngines = true;
    settings.count = 60;
    settings.nonStreamingPercent = 30;
    return settings;
}

// Guards against correct answers reported as wrong, and against uncounted requests.
Test(LoadGenerator, countsCompleteAnswers)
{
    EngineFixture fixture;
    LoadResult result = runLoad(fixture.context, loadSettingsFor(fixture));
    cr_assert_eq(result.complete, 60, "%s", result.toTable().c_str());
    cr_assert_eq(result.sent, 60);
    nlohmann::json total = fixture.counters()["workspaces"]["load"];
    cr_assert_eq(total["completion_tokens"].get<int64_t>(), result.completionTokens);
    cr_assert_eq(total["prompt_tokens"].get<int64_t>(), result.promptTokens);
    cr_assert_eq(nlohmann::json::parse(result.toJson())["complete"].get<int64_t>(), 60);
}

// Guards against interrupted answers counted as complete.
Test(LoadGenerator, countsBrokenAnswersWithoutRetry)
{
    EngineFixture fixture;
    Emulator::EngineFaults faults;
    faults.breakStreams = { 7 };
    faults.breakAfterChunks = 2;
    fixture.engine.setFaults(faults);
    LoadResult result = runLoad(fixture.context, loadSettingsFor(fixture));
    cr_assert_eq(result.broken, 7, "%s", result.toTable().c_str());
    cr_assert_eq(result.complete, 53);
    cr_assert_eq(result.wrong, 0);
}

// Guards against a retry with a new identity, which would generate, and bill, a second time.
Test(LoadGenerator, retryJoinsTheBrokenStream)
{
    EngineFixture fixture;
    Emulator::EngineFaults faults;
    faults.breakStreams = { 7 };
    faults.breakAfterChunks = 2;
    fixture.engine.setFaults(faults);
    LoadSettings settings = loadSettingsFor(fixture);
    settings.maxAttempts = 5;
    LoadResult result = runLoad(fixture.context, settings);
    cr_assert_eq(result.complete, 60, "%s", result.toTable().c_str());
    cr_assert_eq(result.retries, 7);
    cr_assert_gt(result.completeAfterRetry, 0);
    cr_assert_eq(fixture.counters()["workspaces"]["load"]["runs"].get<int64_t>(), 60);
}

// All attempts of a request must have the same Idempotency-Key, and no two requests may share one.
Test(LoadGenerator, attemptsHaveTheirRequestsKey)
{
    boost::asio::io_context context;
    std::map<std::string, int> attempts;
    HTTP::Server server(context.get_executor(), [&attempts](HTTP::Request request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        ++attempts[HTTP::findHeader(request.headers, "Idempotency-Key").value_or("")];
        writer.abort();
        co_return;
    });
    Core::Reason reason;
    LoadSettings settings;
    settings.targets = { server.listen({ "127.0.0.1", 0 }, reason).value() };
    settings.count = 3;
    settings.maxAttempts = 4;
    cr_assert_eq(runLoad(context, settings).broken, 3);
    cr_assert_eq(attempts.size(), 3u);
    for (const std::pair<const std::string, int>& entry : attempts)
        cr_assert_eq(entry.second, 4, "%s", entry.first.c_str());
}

// Guards against error responses counted as interrupted answers, and against an unreachable target counted otherwise.
Test(LoadGenerator, countsRefusalsByCode)
{
    EngineFixture fixture;
    Emulator::EngineFaults faults;
    faults.refuse = { 5 };
    fixture.engine.setFaults(faults);
    LoadResult result = runLoad(fixture.context, loadSettingsFor(fixture));
    cr_assert_eq(result.complete, 55);
    cr_assert_eq((result.refused[{ "unavailable", "unstated" }]), 5);
    fixture.engine.stop();
    cr_assert_eq(runLoad(fixture.context, loadSettingsFor(fixture)).unreachable, 60);
}

// Guards against accepting another caller's answer.
Test(LoadGenerator, anotherCallersAnswerIsWrong)
{
    boost::asio::io_context context;
    AnswerText foreign("another prompt", 32);
    HTTP::Server server(context.get_executor(), [&foreign](HTTP::Request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        Core::Reason ignored;
        nlohmann::json chunk = { { "id", "x" }, { "choices", { { { "delta", { { "content", foreign.token(0) } } } } } } };
        co_await writer.startStream(200, {}, ignored);
        std::string event = "data: " + chunk.dump() + "\n\n";
        co_await writer.writeChunk(event, ignored);
        writer.abort();
    });
    Core::Reason reason;
    LoadSettings settings;
    settings.targets = { server.listen({ "127.0.0.1", 0 }, reason).value() };
    settings.count = 3;
    LoadResult result = runLoad(context, settings);
    cr_assert_eq(result.wrong, 3, "%s", result.toTable().c_str());
    cr_assert_not(result.firstWrongAnswer.empty());
}

static std::string chunkOf(const std::string& id, const std::string& content)
{
    return R"(data: {"id":")" + id + R"(","choices":[{"delta":{"content":")" + content + "\"}}]}\n\n";
}

static std::string endOf(const AnswerText& answer, int64_t completionTokens)
{
    nlohmann::json end = { { "id", "a" }, { "choices", { { { "delta", nlohmann::json::object() }, { "finish_reason", answer.finishReason() } } } },
        { "usage", { { "prompt_tokens", answer.promptTokens() }, { "completion_tokens", completionTokens } } } };
    return "data: " + end.dump() + "\n\ndata: [DONE]\n\n";
}

// Guards against undetected deviations in content, identity, finish reason, usage or event order.
Test(ReceivedAnswer, findsEachMismatch)
{
    AnswerText expected("p", 1);
    std::string token = expected.token(0);
    struct Case {
        std::string bytes;
        bool isGood;
    };
    const Case cases[] = {
        { chunkOf("a", token) + endOf(expected, 1), true },
        { chunkOf("a", token), true },
        { "", true },
        { chunkOf("a", "zzz"), false },
        { endOf(expected, 1), false },
        { chunkOf("a", token) + chunkOf("a", token) + endOf(expected, 1), false },
        { chunkOf("b", token) + endOf(expected, 1), false },
        { chunkOf("a", token) + endOf(expected, 2), false },
        { chunkOf("a", token) + "data: [DONE]\n\n", false },
        { chunkOf("a", token) + endOf(expected, 1) + chunkOf("a", token), false },
        { "data: nothing\n\n", false },
    };
    for (const Case& example : cases) {
        ReceivedAnswer answer;
        for (char byte : example.bytes)
            answer.appendBytes(std::string_view(&byte, 1));
        std::string mismatch = answer.findMismatch(expected);
        cr_assert_eq(mismatch.empty(), example.isGood, "%s: %s", example.bytes.c_str(), mismatch.c_str());
    }
}

// An error event must not count as the end of the answer.
Test(ReceivedAnswer, errorEventIsNotTheEnd)
{
    ReceivedAnswer answer;
    answer.appendBytes("event: error\ndata: {\"error\":{\"code\":\"endpoint_failed\",\"ran\":\"unknown\"}}\n\n");
    cr_assert_eq(answer.errorCode(), "endpoint_failed");
    cr_assert_not(answer.hasEnded());
}

// Bins must be narrow enough to resolve the 0.3 ms that a daemon adds to first-token times of 10 ms.
Test(LatencyHistogram, binsResolveSmallDifferences)
{
    Emulator::LatencyHistogram histogram;
    for (int count = 0; count < 100; ++count)
        histogram.add(std::chrono::microseconds(10'000));
    histogram.add(std::chrono::milliseconds(20));
    cr_assert(histogram.summary().medianMs >= 10 && histogram.summary().medianMs < 10.05);
}

// Guards against percentiles that are off by more than one bin.
Test(LatencyHistogram, percentilesAreWithinOneBin)
{
    Emulator::LatencyHistogram histogram;
    for (int ms = 1; ms <= 1000; ++ms)
        histogram.add(std::chrono::milliseconds(ms));
    Emulator::LatencySummary summary = histogram.summary();
    cr_assert(summary.medianMs >= 500 && summary.medianMs < 512);
    cr_assert(summary.percentile95Ms >= 950 && summary.percentile95Ms < 972);
    cr_assert(summary.percentile99Ms >= 990 && summary.percentile99Ms <= 1000);
    cr_assert_eq(summary.maxMs, 1000);
}
