#include "CallerFixture.h"

#include <criterion/criterion.h>

using Caller::RequestOutcome;

static void assertSeen(const CallerFixture& fixture, std::vector<RequestOutcome> outcomes, std::vector<std::string> refusals)
{
    cr_assert(fixture.requestOutcomes == outcomes, "%zu outcomes, first %s", fixture.requestOutcomes.size(),
        fixture.requestOutcomes.empty() ? "none" : Caller::nameOf(fixture.requestOutcomes.front()));
    cr_assert(fixture.refusals == refusals, "%zu refusals", fixture.refusals.size());
}

// Guards against answered requests that are not counted, or are counted twice.
Test(Observer, answersAreReportedOnce)
{
    CallerFixture fixture;
    cr_assert(fixture.call(fixture.chatRequest(false)));
    cr_assert(fixture.call(fixture.chatRequest(true)));
    cr_assert(fixture.call(fixture.serviceRequest("/services/stock/a")));
    assertSeen(fixture, { RequestOutcome::Answered, RequestOutcome::Answered, RequestOutcome::Answered }, {});
    cr_assert_eq(fixture.firstEvents, 2);
}

// Guards against refusals of the handlers that only the caller sees.
Test(Observer, refusalsAreReportedByCode)
{
    CallerFixture fixture;
    fixture.available = 1;
    cr_assert(fixture.call(fixture.chatRequest(false)));
    cr_assert(fixture.call(fixture.serviceRequest("/services/none/a")));
    cr_assert(fixture.call({ "POST", "/v1/chat/completions", { { "Authorization", "Bearer wrong" } }, "{}" }));
    cr_assert(fixture.call({ "POST", "/v1/chat/completions", { { "Authorization", "Bearer key" } }, "{" }));
    std::vector<RequestOutcome> outcomes(4, RequestOutcome::NotRun);
    assertSeen(fixture, outcomes, { "budget_exhausted", "unknown_service", "unauthorized", "bad_request" });
}

// Guards against an interrupted stream that counts as an answer.
Test(Observer, brokenStreamIsReported)
{
    CallerFixture fixture;
    Emulator::EngineFaults faults;
    faults.breakStreams.remaining = -1;
    faults.breakAfterChunks = 3;
    fixture.engine.setFaults(faults);
    cr_assert_not(fixture.call(fixture.chatRequest(true)));
    assertSeen(fixture, { RequestOutcome::BrokenOff }, { "endpoint_failed" });
}
