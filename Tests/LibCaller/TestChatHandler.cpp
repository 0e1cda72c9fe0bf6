#include "CallerFixture.h"

#include <criterion/criterion.h>

static bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

// Guards against incomplete or mixed-up answers, and against bills that differ from the engine's token count.
Test(ChatHandler, completeAnswerIsBilledOnce)
{
    CallerFixture fixture;
    std::optional<HTTP::Response> response = fixture.call(fixture.chatRequest(false));
    cr_assert(response);
    cr_assert_eq(response->status, 200u);
    Emulator::AnswerText expected("satchels", 20);
    cr_assert(contains(response->body, "\"" + expected.whole() + "\""), "%s", response->body.c_str());
    cr_assert_eq(fixture.bills.size(), 1u);
    cr_assert_eq(fixture.bills[0].tokens, expected.promptTokens() + expected.length());
    cr_assert_eq(fixture.heldTokens, 0);
    cr_assert_eq(fixture.availableTokens, 1000 - fixture.bills[0].tokens);
}

Test(ChatHandler, streamEndsWithDone)
{
    CallerFixture fixture;
    std::optional<HTTP::Response> response = fixture.call(fixture.chatRequest(true));
    cr_assert(response);
    cr_assert(response->body.ends_with("data: [DONE]\n\n"));
    cr_assert_eq(fixture.bills.size(), 1u);
}

// Guards against a stream that appears complete to the caller although the engine interrupted it.
Test(ChatHandler, interruptedStreamIsAbortedAndBilledByTokenCount)
{
    CallerFixture fixture;
    Emulator::EngineFaults faults;
    faults.breakStreams.remaining = -1;
    faults.breakAfterChunks = 3;
    fixture.engine.setFaults(faults);
    cr_assert_not(fixture.call(fixture.chatRequest(true)), "the interrupted stream appeared complete");
    fixture.engine.setFaults({});
    TestSupport::runUntil(fixture.context, [&fixture] { return fixture.bills.size() == 1; });
    cr_assert_eq(fixture.bills[0].kind, Ledger::UsageKind::BrokenOff);
    int64_t generated = fixture.engine.generatedTokensOf(fixture.bills[0].attemptId);
    cr_assert_eq(fixture.bills[0].tokens, generated + 2);
    cr_assert_eq(fixture.heldTokens, 0);
}

// Guards against duplicated or missing events after a lost connection to the engine.
Test(ChatHandler, reconnectPreservesTheAnswer)
{
    CallerFixture fixture;
    Emulator::EngineFaults faults;
    faults.breakStreams.remaining = 1;
    faults.breakAfterChunks = 3;
    fixture.engine.setFaults(faults);
    std::optional<HTTP::Response> response = fixture.call(fixture.chatRequest(false));
    cr_assert(response);
    cr_assert(contains(response->body, "\"" + Emulator::AnswerText("satchels", 20).whole() + "\""), "%s", response->body.c_str());
    cr_assert_eq(fixture.engine.runsOf(fixture.bills.at(0).attemptId), 1);
}

// Guards against "not run" for a request that reached the engine, and against a leaked hold for one that did not.
Test(ChatHandler, refusalsBeforeDispatchReachNoEngine)
{
    CallerFixture fixture;
    fixture.availableTokens = 5;
    std::optional<HTTP::Response> response = fixture.call(fixture.chatRequest(false));
    cr_assert_eq(response->status, 402u);
    cr_assert(contains(response->body, "budget_exhausted") && contains(response->body, "not_run"));
    fixture.availableTokens = 1000;
    fixture.hasWitness = false;
    response = fixture.call(fixture.chatRequest(false));
    cr_assert(contains(response->body, "witness_unavailable") && contains(response->body, "not_run"));
    fixture.hasWitness = true;
    Emulator::EngineFaults faults;
    faults.refuse.remaining = 1;
    fixture.engine.setFaults(faults);
    response = fixture.call(fixture.chatRequest(false));
    cr_assert(contains(response->body, "endpoint_failed") && contains(response->body, "not_run"), "%s", response->body.c_str());
    cr_assert_eq(fixture.heldTokens, 0);
    cr_assert_eq(fixture.availableTokens, 1000);
    cr_assert(fixture.bills.empty());
    cr_assert(fixture.records.empty());
}

// Guards against an answer that is completed while its usage is stored on this host only.
Test(ChatHandler, answerIsNotCompletedWithoutDurableUsage)
{
    CallerFixture fixture;
    fixture.hooks.closeAttempt = [](Ledger::Usage, Core::Deadline, Core::Reason& reason) -> Core::Task<bool> {
        reason = { Core::FailureKind::Unavailable, "close", "witness", "no witness" };
        co_return false;
    };
    cr_assert_not(fixture.call(fixture.chatRequest(true)), "the stream was completed");
    std::optional<HTTP::Response> response = fixture.call(fixture.chatRequest(false));
    cr_assert(contains(response->body, "\"unknown\""), "%s", response->body.c_str());
    cr_assert_eq(fixture.bills.size(), 2u);
}

// Guards against a retry that runs the request again instead of joining the first run.
Test(ChatHandler, retryJoinsTheFirstRun)
{
    CallerFixture fixture;
    std::optional<HTTP::Response> first = fixture.call(fixture.chatRequest(false, "k"));
    std::optional<HTTP::Response> second = fixture.call(fixture.chatRequest(false, "k"));
    cr_assert_eq(first->body, second->body);
    cr_assert_eq(fixture.records.size(), 1u);
    cr_assert_eq(fixture.engine.runsOf(fixture.bills.at(0).attemptId), 1);
    cr_assert_eq(fixture.bills.at(0).attemptId, fixture.bills.at(1).attemptId);
    cr_assert_eq(fixture.heldTokens, 0);
}

// Guards against a retry that is refused as "not run" although the first attempt ran.
Test(ChatHandler, retryJoinsTheFirstRunWithExhaustedBudget)
{
    CallerFixture fixture;
    std::optional<HTTP::Response> first = fixture.call(fixture.chatRequest(false, "k"));
    fixture.availableTokens = 0;
    std::optional<HTTP::Response> second = fixture.call(fixture.chatRequest(false, "k"));
    cr_assert_eq(second->status, 200u, "%s", second->body.c_str());
    cr_assert_eq(first->body, second->body);
}

// Guards against a reused idempotency key that returns the answer to a different request.
Test(ChatHandler, reusedKeyIsRefused)
{
    CallerFixture fixture;
    fixture.call(fixture.chatRequest(false, "k"));
    HTTP::Request other = fixture.chatRequest(false, "k");
    other.body.replace(other.body.find("satchels"), 8, "wallets.");
    std::optional<HTTP::Response> response = fixture.call(other);
    cr_assert_eq(response->status, 422u);
    cr_assert(contains(response->body, "idempotency_key_reused"));
}

// Guards against dispatch on stale intent after the process was paused between the admission check and the write to the
// engine.
Test(ChatHandler, staleIntentIsDetectedBeforeTheWrite)
{
    CallerFixture fixture;
    std::function<Core::Task<std::optional<Caller::Hooks::OpenResult>>(Witness::Record, bool, Core::Deadline, Core::Reason&)> open = fixture.hooks.openAttempt;
    fixture.hooks.openAttempt = [&fixture, open](Witness::Record record, bool mayBeRetry, Core::Deadline deadline, Core::Reason& reason) {
        fixture.admissionRefusal = Caller::Refusal { "stale_intent", 503, Caller::ExecutionStatus::NotRun, "admit", "entry-1", "stale", 0 };
        return open(std::move(record), mayBeRetry, deadline, reason);
    };
    std::optional<HTTP::Response> response = fixture.call(fixture.chatRequest(false));
    cr_assert(contains(response->body, "stale_intent") && contains(response->body, "not_run"), "%s", response->body.c_str());
    cr_assert(fixture.records.empty());
    cr_assert_eq(fixture.heldTokens, 0);
}
