#include "CallerFixture.h"

#include <criterion/criterion.h>

using Caller::RequestOutcome;

static void assertReported(const CallerFixture& fixture, std::vector<RequestOutcome> outcomes, std::vector<std::string> refusalCodes)
{
    cr_assert(fixture.requestOutcomes == outcomes, "%zu outcomes, first %s", fixture.requestOutcomes.size(),
        fixture.requestOutcomes.empty() ? "none" : Caller::nameOf(fixture.requestOutcomes.front()));
    cr_assert(fixture.refusalCodes == refusalCodes, "%zu refusals", fixture.refusalCodes.size());
}

// Guards against answered requests that are not reported, or are reported twice.
Test(Observer, answersAreReportedOnce)
{
    CallerFixture fixture;
    cr_assert(fixture.call(fixture.chatRequest(false)));
    cr_assert(fixture.call(fixture.chatRequest(true)));
    cr_assert(fixture.call(fixture.serviceRequest("/services/stock/a")));
    assertReported(fixture, { RequestOutcome::Answered, RequestOutcome::Answered, RequestOutcome::Answered }, {});
    cr_assert_eq(fixture.firstEvents, 2);
}

// Guards against refusals that are sent to the caller but not reported.
Test(Observer, refusalsAreReportedByCode)
{
    CallerFixture fixture;
    fixture.availableTokens = 1;
    cr_assert(fixture.call(fixture.chatRequest(false)));
    cr_assert(fixture.call(fixture.serviceRequest("/services/none/a")));
    cr_assert(fixture.call({ "POST", "/v1/chat/completions", { { "Authorization", "Bearer wrong" } }, "{}" }));
    cr_assert(fixture.call({ "POST", "/v1/chat/completions", { { "Authorization", "Bearer key" } }, "{" }));
    std::vector<RequestOutcome> outcomes(4, RequestOutcome::NotRun);
    assertReported(fixture, outcomes, { "budget_exhausted", "unknown_service", "unauthorized", "bad_request" });
}

// Guards against an interrupted stream that is reported as answered.
Test(Observer, interruptedStreamIsReported)
{
    CallerFixture fixture;
    Emulator::EngineFaults faults;
    faults.breakStreams.remaining = -1;
    faults.breakAfterChunks = 3;
    fixture.engine.setFaults(faults);
    cr_assert_not(fixture.call(fixture.chatRequest(true)));
    assertReported(fixture, { RequestOutcome::BrokenOff }, { "endpoint_failed" });
}
