#include "EngineFixture.h"

using Emulator::AnswerText;

// Clients verify answers by recomputing them, so answers must depend only on the prompt and the token limit.
Test(AnswerText, dependsOnPromptAndIndexOnly)
{
    AnswerText answer("a prompt", 40);
    cr_assert_eq(answer.whole(), AnswerText("a prompt", 40).whole());
    cr_assert_neq(answer.whole(), AnswerText("another prompt", 40).whole());
    cr_assert_eq(answer.promptTokens(), 2);
    cr_assert_eq(AnswerText("123456789", 40).promptTokens(), 3);
    cr_assert_geq(answer.length(), 20);
    cr_assert_leq(answer.length(), 40);
    cr_assert_eq(AnswerText("x", 1).length(), 1);
}

// Guards against lost or reordered tokens and against usage that differs from the generated tokens.
Test(EngineStreams, streamedAndUnstreamedAnswersAreEqual)
{
    EngineFixture fixture;
    AnswerText expected("tell me", 30);
    EngineFixture::Answer streamed = fixture.call(EngineFixture::post("s1", "tell me", 30));
    cr_assert(streamed, "%s", fixture.reason.text().c_str());
    cr_assert_eq(EngineFixture::contentOf(streamed->body, "s1"), expected.whole());
    cr_assert_eq(HTTP::findHeader(streamed->headers, "X-Stream-Id").value_or(""), "s1");
    nlohmann::json unstreamed = fixture.callJson(EngineFixture::post("s2", "tell me", 30, false));
    cr_assert_eq(unstreamed["id"].get<std::string>(), "s2");
    cr_assert_eq(unstreamed["choices"][0]["message"]["content"].get<std::string>(), expected.whole());
    cr_assert_eq(unstreamed["usage"]["completion_tokens"].get<int64_t>(), expected.length());
    cr_assert_eq(unstreamed["usage"]["prompt_tokens"].get<int64_t>(), 2);
    nlohmann::json total = fixture.counters()["workspaces"]["w"];
    cr_assert_eq(total["completion_tokens"].get<int64_t>(), 2 * expected.length());
    cr_assert_eq(total["prompt_tokens"].get<int64_t>(), 4);
}

// Guards against a repeated request that generates, and bills, a second time.
Test(EngineStreams, repeatedPostJoinsRunningAndFinishedStream)
{
    EngineFixture fixture;
    std::optional<EngineFixture::Answer> first;
    std::optional<EngineFixture::Answer> second;
    TestSupport::startTask(fixture.context, fixture.send(EngineFixture::post("s", "p", 100)), first);
    TestSupport::runUntil(fixture.context, [&] { return fixture.engine.generatedTokensOf("s") > 3; });
    TestSupport::startTask(fixture.context, fixture.send(EngineFixture::post("s", "p", 100)), second);
    TestSupport::runUntil(fixture.context, [&] { return first && second; });
    EngineFixture::Answer third = fixture.call(EngineFixture::post("s", "p", 100));
    cr_assert(*first && *second && third);
    cr_assert_eq((*first)->body, (*second)->body);
    cr_assert_eq((*first)->body, third->body);
    cr_assert_eq(fixture.engine.runsOf("s"), 1);
    cr_assert_eq(fixture.engine.generatedTokensOf("s"), AnswerText("p", 100).length());
}

// Guards against returning one caller's answer to another that uses the same stream identity.
Test(EngineStreams, joiningWithAnotherPromptIsRefused)
{
    EngineFixture fixture;
    cr_assert(fixture.call(EngineFixture::post("s", "p", 4)));
    fixture.callJson(EngineFixture::post("s", "q", 4), 409);
}

// Generation must continue after the reader's connection is lost, so that a retry can read the rest.
Test(EngineStreams, interruptedStreamContinuesAndIsResumable)
{
    EngineFixture fixture;
    fixture.callJson({ "POST", "/control/faults", {}, R"({"break_streams": 1, "break_after_chunks": 3})" });
    cr_assert_not(fixture.call(EngineFixture::post("s", "p", 50)));
    cr_assert_eq(fixture.reason.kind, Core::FailureKind::OutcomeUnknown);
    EngineFixture::Answer resumed = fixture.call({ "GET", "/v1/streams/s?from=0", {}, "" });
    cr_assert(resumed, "%s", fixture.reason.text().c_str());
    cr_assert_eq(EngineFixture::contentOf(resumed->body, "s"), AnswerText("p", 50).whole());
    EngineFixture::Answer rest = fixture.call({ "GET", "/v1/streams/s?from=20", {}, "" });
    cr_assert(rest);
    cr_assert_eq(EngineFixture::contentOf(rest->body, "s"), AnswerText("p", 50).whole().substr(AnswerText("p", 50).firstTokens(20).size()));
    cr_assert_eq(fixture.engine.runsOf("s"), 1);
}

// With break_after_chunks 0, the connection must close before the response starts.
Test(EngineStreams, interruptedBeforeFirstChunk)
{
    EngineFixture fixture;
    Emulator::EngineFaults faults;
    faults.breakStreams = { 1 };
    fixture.engine.setFaults(faults);
    cr_assert_not(fixture.call(EngineFixture::post("s", "p", 5)));
    cr_assert_eq(fixture.engine.runsOf("s"), 1);
}

// With lose_broken_streams set, an interrupted stream must not be resumable.
Test(EngineStreams, lostStreamIsUnknown)
{
    EngineFixture fixture;
    Emulator::EngineFaults faults;
    faults.breakStreams = { 1 };
    faults.breakAfterChunks = 2;
    faults.loseBrokenStreams = true;
    fixture.engine.setFaults(faults);
    cr_assert_not(fixture.call(EngineFixture::post("s", "p", 50)));
    fixture.callJson({ "GET", "/v1/streams/s?from=0", {}, "" }, 404);
    fixture.callJson({ "POST", "/v1/streams/s/cancel", {}, "" }, 404);
}

// Guards against usage that still grows after a cancel, which would make the bill wrong, and against a cancelled answer
// that looks complete.
Test(EngineStreams, cancelIsIdempotentAndFinal)
{
    EngineFixture fixture;
    std::optional<EngineFixture::Answer> reader;
    TestSupport::startTask(fixture.context, fixture.send(EngineFixture::post("s", "p", 100000)), reader);
    TestSupport::runUntil(fixture.context, [&] { return fixture.engine.generatedTokensOf("s") > 5; });
    nlohmann::json first = fixture.callJson({ "POST", "/v1/streams/s/cancel", {}, "" });
    TestSupport::runUntil(fixture.context, [&] { return reader.has_value(); });
    cr_assert_not(*reader);
    nlohmann::json second = fixture.callJson({ "POST", "/v1/streams/s/cancel", {}, "" });
    cr_assert_eq(first.dump(), second.dump());
    cr_assert_eq(first["usage"]["completion_tokens"].get<int64_t>(), fixture.engine.generatedTokensOf("s"));
    fixture.callJson(EngineFixture::post("s", "p", 100000), 409);
    fixture.callJson({ "GET", "/v1/streams/s?from=0", {}, "" }, 409);
    cr_assert_eq(fixture.engine.runsOf("s"), 1);
    // The slot must be free again.
    cr_assert_eq(fixture.callJson({ "GET", "/v1/load", {}, "" })["running"].get<int64_t>(), 0);
}

// Guards against running a queued stream after its cancel, and against usage for tokens that were not generated.
Test(EngineStreams, cancelledInQueueNeverRuns)
{
    Emulator::EngineSettings settings = EngineFixture::fastSettings();
    settings.slots = 1;
    EngineFixture fixture(settings);
    std::optional<EngineFixture::Answer> running;
    std::optional<EngineFixture::Answer> queued;
    TestSupport::startTask(fixture.context, fixture.send(EngineFixture::post("a", "p", 100000)), running);
    TestSupport::runUntil(fixture.context, [&] { return fixture.engine.generatedTokensOf("a") > 0; });
    TestSupport::startTask(fixture.context, fixture.send(EngineFixture::post("b", "p", 10)), queued);
    TestSupport::runUntil(fixture.context, [&] { return fixture.callJson({ "GET", "/v1/load", {}, "" })["queued"] == 1; });
    nlohmann::json usage = fixture.callJson({ "POST", "/v1/streams/b/cancel", {}, "" })["usage"];
    cr_assert_eq(usage["total_tokens"].get<int64_t>(), 0);
    fixture.callJson({ "POST", "/v1/streams/a/cancel", {}, "" });
    TestSupport::runUntil(fixture.context, [&] { return running && queued; });
    cr_assert_eq(fixture.engine.runsOf("b"), 0);
}

// Guards against unlimited retention of finished streams.
Test(EngineStreams, finishedStreamIsRemovedAfterRetention)
{
    Emulator::EngineSettings settings = EngineFixture::fastSettings();
    settings.keepFinishedMs = 1;
    EngineFixture fixture(settings);
    cr_assert(fixture.call(EngineFixture::post("s", "p", 5)));
    TestSupport::runUntil(fixture.context, [&] { return fixture.call({ "GET", "/v1/streams/s", {}, "" })->status == 404; });
    // The counters are retained for the audit.
    cr_assert_eq(fixture.counters()["streams"]["s"]["runs"].get<int64_t>(), 1);
}

// Guards against a queue that ignores priorities or its length limit.
Test(EngineStreams, queueFollowsPriorityAndHasALimit)
{
    Emulator::EngineSettings settings = EngineFixture::fastSettings();
    settings.slots = 1;
    settings.queueLimit = 2;
    EngineFixture fixture(settings);
    std::optional<EngineFixture::Answer> running;
    std::optional<EngineFixture::Answer> low;
    std::optional<EngineFixture::Answer> high;
    TestSupport::startTask(fixture.context, fixture.send(EngineFixture::post("running", "p", 100000)), running);
    TestSupport::runUntil(fixture.context, [&] { return fixture.engine.generatedTokensOf("running") > 0; });
    TestSupport::startTask(fixture.context, fixture.send(EngineFixture::post("low", "p", 100000, true, 0)), low);
    TestSupport::runUntil(fixture.context, [&] { return fixture.callJson({ "GET", "/v1/load", {}, "" })["queued"] == 1; });
    TestSupport::startTask(fixture.context, fixture.send(EngineFixture::post("high", "p", 5, true, 7)), high);
    TestSupport::runUntil(fixture.context, [&] { return fixture.callJson({ "GET", "/v1/load", {}, "" })["queued"] == 2; });
    fixture.callJson(EngineFixture::post("refused", "p", 5), 503);
    fixture.callJson({ "POST", "/v1/streams/running/cancel", {}, "" });
    TestSupport::runUntil(fixture.context, [&] { return high.has_value(); });
    cr_assert(*high);
    cr_assert_not(low);
    cr_assert_eq(fixture.engine.runsOf("refused"), 0);
}

// Guards against running a request that was rejected.
Test(EngineFaults, refusedPostDoesNotRun)
{
    EngineFixture fixture;
    fixture.callJson({ "POST", "/control/faults", {}, R"({"refuse": 1})" });
    fixture.callJson(EngineFixture::post("s", "p", 5), 503);
    cr_assert_eq(fixture.engine.runsOf("s"), 0);
    cr_assert(fixture.call(EngineFixture::post("s", "p", 5)));
}

// Guards against responses while stop_answering is set, and against missing responses after it is cleared.
Test(EngineFaults, engineAnswersAfterStopAnsweringIsCleared)
{
    EngineFixture fixture;
    fixture.callJson({ "POST", "/control/faults", {}, R"({"stop_answering": true})" });
    cr_assert_not(fixture.call(EngineFixture::post("s", "p", 5), std::chrono::milliseconds(50)));
    cr_assert_eq(fixture.engine.runsOf("s"), 0);
    fixture.callJson({ "POST", "/control/faults", {}, R"({"stop_answering": false, "delay_ms": 1})" });
    EngineFixture::Answer answer = fixture.call(EngineFixture::post("s", "p", 5));
    cr_assert(answer);
    cr_assert_eq(EngineFixture::contentOf(answer->body, "s"), AnswerText("p", 5).whole());
}

// Misspelt fault names must be rejected; a test would otherwise run without its fault.
Test(EngineFaults, unknownFieldIsNamed)
{
    EngineFixture fixture;
    nlohmann::json error = fixture.callJson({ "POST", "/control/faults", {}, R"({"refuse": 1, "brake_streams": 1})" }, 400);
    cr_assert_neq(error["error"]["message"].get<std::string>().find("brake_streams"), std::string::npos);
    cr_assert(fixture.call(EngineFixture::post("s", "p", 5))->status == 200);
}
