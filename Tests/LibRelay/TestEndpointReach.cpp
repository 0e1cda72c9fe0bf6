#include "LibRelay/EndpointReach.h"

#include <criterion/criterion.h>

using namespace std::chrono_literals;
using Relay::EndpointReach;
using Outcome = HTTP::ConnectAttempt::Outcome;

static HTTP::ConnectAttempt attempt(int endpoint, Outcome outcome, EndpointReach::TimePoint at)
{
    return { { "10.0.0." + std::to_string(endpoint), 80 }, outcome, at - 400ms, at };
}

// Guards against trying endpoint after endpoint for each request, although none can be reached.
Test(EndpointReach, failedConnectsToSeveralEndpointsMeanCutOff)
{
    EndpointReach reach;
    EndpointReach::TimePoint now = Core::SteadyClock::now();
    // The same endpoint fails again and again.
    for (int i = 0; i < 10; ++i)
        reach.record("engines", 9, attempt(0, Outcome::TimedOut, now));
    cr_assert(!reach.isCutOff("engines", now));
    for (int i = 1; i < 4; ++i)
        reach.record("engines", 9, attempt(i, i % 2 == 0 ? Outcome::TimedOut : Outcome::Refused, now));
    cr_assert(reach.isCutOff("engines", now));
    cr_assert(!reach.isCutOff("orders", now));
    cr_assert(reach.cutOffServices(now).contains("engines"));
}

// Guards against taking the loss of one failure domain's endpoints for that of all.
Test(EndpointReach, anAnswerEndsTheSuspicion)
{
    EndpointReach reach;
    EndpointReach::TimePoint now = Core::SteadyClock::now();
    for (int i = 0; i < 40; ++i)
        reach.record("engines", 9, attempt(i % 9, i % 3 == 0 ? Outcome::Established : Outcome::TimedOut, now));
    cr_assert(!reach.isCutOff("engines", now));
}

// Guards against never noticing that a service with few endpoints cannot be reached.
Test(EndpointReach, allOfFewEndpointsAreEnough)
{
    EndpointReach reach;
    EndpointReach::TimePoint now = Core::SteadyClock::now();
    reach.record("orders", 2, attempt(0, Outcome::TimedOut, now));
    cr_assert(!reach.isCutOff("orders", now));
    reach.record("orders", 2, attempt(1, Outcome::TimedOut, now));
    cr_assert(reach.isCutOff("orders", now));
}

// Guards against staying cut off without evidence, and against leaving the state while one connect at a time still fails.
Test(EndpointReach, stateLastsAsLongAsConnectsFail)
{
    EndpointReach reach;
    EndpointReach::TimePoint now = Core::SteadyClock::now();
    for (int i = 0; i < 4; ++i)
        reach.record("engines", 9, attempt(i, Outcome::TimedOut, now));
    for (int i = 0; i < 20; ++i) {
        now += 700ms;
        cr_assert(reach.isCutOff("engines", now));
        reach.record("engines", 9, attempt(i % 9, Outcome::TimedOut, now));
    }
    reach.record("engines", 9, attempt(3, Outcome::Established, now + 300ms));
    cr_assert(!reach.isCutOff("engines", now + 300ms));
    // Without connects nothing is known after a while.
    for (int i = 0; i < 4; ++i)
        reach.record("engines", 9, attempt(i, Outcome::TimedOut, now + 400ms));
    cr_assert(!reach.isCutOff("engines", now + 400ms + EndpointReach::evidenceTime + 1ms));
}

// Guards against finding out anew for each service that the host has lost its paths.
Test(EndpointReach, oneFailureIsEnoughBesideAnotherLostService)
{
    EndpointReach reach;
    EndpointReach::TimePoint now = Core::SteadyClock::now();
    reach.record("orders", 3, attempt(10, Outcome::TimedOut, now));
    cr_assert(!reach.isCutOff("orders", now));
    for (int i = 0; i < 4; ++i)
        reach.record("engines", 9, attempt(i, Outcome::TimedOut, now));
    reach.record("orders", 3, attempt(10, Outcome::TimedOut, now));
    cr_assert(reach.isCutOff("orders", now));
    reach.record("orders", 3, attempt(11, Outcome::Established, now));
    cr_assert(!reach.isCutOff("orders", now));
}
