#include "CallerFixture.h"

#include <criterion/criterion.h>

static bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

// Guards against a non-repeatable call that runs again on a retry.
Test(ServiceHandler, retriedCallRunsOnceAndGetsTheSameAnswer)
{
    CallerFixture fixture;
    std::optional<HTTP::Response> first = fixture.call(fixture.serviceRequest("/services/desk/confirm", "o-1"));
    std::optional<HTTP::Response> second = fixture.call(fixture.serviceRequest("/services/desk/confirm", "o-1"));
    cr_assert_eq(first->status, 200u);
    cr_assert_eq(first->body, second->body);
    cr_assert_eq(fixture.service.runsOf("o-1", "/confirm"), 1);
}

// Guards against a call that is sent a second time because its first answer was lost.
Test(ServiceHandler, lostAnswerStaysUnknown)
{
    CallerFixture fixture;
    Emulator::ServiceFaults faults;
    faults.closeAfterRun.remaining = 1;
    fixture.service.setFaults(faults);
    std::optional<HTTP::Response> first = fixture.call(fixture.serviceRequest("/services/desk/confirm", "o-1"));
    cr_assert(contains(first->body, "\"unknown\""), "%s", first->body.c_str());
    std::optional<HTTP::Response> second = fixture.call(fixture.serviceRequest("/services/desk/confirm", "o-1"));
    cr_assert(contains(second->body, "\"unknown\""), "%s", second->body.c_str());
    cr_assert_eq(fixture.service.runsOf("o-1", "/confirm"), 1);
    cr_assert_eq(fixture.claims.size(), 1u);
}

// Guards against a non-repeatable call that is dispatched without a stored claim.
Test(ServiceHandler, callWithoutClaimIsNotDispatched)
{
    CallerFixture fixture;
    fixture.hasLedger = false;
    std::optional<HTTP::Response> response = fixture.call(fixture.serviceRequest("/services/desk/confirm", "o-1"));
    cr_assert(contains(response->body, "platform_unavailable") && contains(response->body, "not_run"));
    cr_assert_eq(fixture.service.runsOf("o-1", "/confirm"), 0);
}

// Guards against a claim that blocks retries of a call that was never sent.
Test(ServiceHandler, unreachableServiceReleasesTheClaim)
{
    CallerFixture fixture;
    fixture.service.stop();
    std::optional<HTTP::Response> response = fixture.call(fixture.serviceRequest("/services/desk/confirm", "o-1"));
    cr_assert(contains(response->body, "not_run"), "%s", response->body.c_str());
    TestSupport::runUntil(fixture.context, [&fixture] { return fixture.claims.empty(); });
}

Test(ServiceHandler, missingKeyAndReusedKeyAreRefused)
{
    CallerFixture fixture;
    std::optional<HTTP::Response> response = fixture.call(fixture.serviceRequest("/services/desk/confirm"));
    cr_assert_eq(response->status, 400u);
    fixture.call(fixture.serviceRequest("/services/desk/confirm", "o-1"));
    response = fixture.call(fixture.serviceRequest("/services/desk/confirm", "o-1", "{\"hides\":99}"));
    cr_assert_eq(response->status, 422u, "%s", response->body.c_str());
    response = fixture.call(fixture.serviceRequest("/services/none/confirm", "o-1"));
    cr_assert_eq(response->status, 404u);
}

// Guards against a repeatable call that is not billed its price, or keeps its hold.
Test(ServiceHandler, repeatableCallIsBilled)
{
    CallerFixture fixture;
    std::optional<HTTP::Response> response = fixture.call(fixture.serviceRequest("/services/stock/read"));
    cr_assert_eq(response->status, 200u);
    cr_assert_eq(fixture.bills.size(), 1u);
    cr_assert_eq(fixture.bills[0].tokens, 3);
    cr_assert_eq(fixture.heldTokens, 0);
}
