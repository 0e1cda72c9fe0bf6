#include "LibRelay/LinkMonitor.h"

#include <criterion/criterion.h>

using namespace std::chrono_literals;
using Relay::LinkMonitor;
using Outcome = HTTP::ConnectAttempt::Outcome;

namespace {

constexpr std::chrono::milliseconds connectTimeout = 400ms;

// One attempt at each of the addresses, all of which end at the same time.
void connectAll(LinkMonitor& link, LinkMonitor::TimePoint at, int firstAddress, int addresses, Outcome outcome, std::chrono::milliseconds elapsed)
{
    for (int i = 0; i < addresses; ++i)
        link.record({ { "10.0.0." + std::to_string(firstAddress + i), 80 }, outcome, at - elapsed, at });
}

}

// Guards against refusing requests over an idle link, also beside endpoints that do not answer.
Test(LinkMonitor, silentEndpointsAreNoFullLink)
{
    LinkMonitor link;
    LinkMonitor::TimePoint now = Core::SteadyClock::now();
    connectAll(link, now, 0, 12, Outcome::TimedOut, connectTimeout);
    connectAll(link, now, 20, 7, Outcome::Established, 6ms);
    cr_assert(!link.isFull(now));
    cr_assert(!link.needsRest(now));
    // Their time limit is not taken off the time of requests.
    cr_assert_eq(link.delay(now).count(), 6);
}

// Guards against taking a host that is cut off from all endpoints for one whose link is full.
Test(LinkMonitor, partitionIsNoFullLink)
{
    LinkMonitor link;
    LinkMonitor::TimePoint now = Core::SteadyClock::now();
    connectAll(link, now, 0, 20, Outcome::TimedOut, connectTimeout);
    cr_assert(!link.isFull(now));
    cr_assert_eq(link.delay(now).count(), 0);
}

// Guards against taking a distance for a full link.
Test(LinkMonitor, limitFollowsTheSettings)
{
    LinkMonitor link(600ms);
    LinkMonitor::TimePoint now = Core::SteadyClock::now();
    connectAll(link, now, 0, 12, Outcome::Established, 250ms);
    cr_assert(!link.isFull(now));
    connectAll(link, now, 0, 12, Outcome::Established, 700ms);
    cr_assert(link.isFull(now));
}

// Guards against a host that takes half of a failure domain's callers over a link of 10 Mbit/s, and goes on trying other endpoints over it.
Test(LinkMonitor, slowAnswersFromAllEndpointsAreAFullLink)
{
    LinkMonitor link;
    LinkMonitor::TimePoint now = Core::SteadyClock::now();
    connectAll(link, now, 0, 6, Outcome::Established, 260ms);
    connectAll(link, now, 10, 6, Outcome::TimedOut, connectTimeout);
    cr_assert(link.isFull(now));
    cr_assert(link.needsRest(now));
    cr_assert_geq(link.delay(now).count(), 260);
    // The queue grows until no connect succeeds any more.
    for (int i = 0; i < 10; ++i) {
        now += 300ms;
        connectAll(link, now, 0, 12, Outcome::TimedOut, connectTimeout);
        cr_assert(link.isFull(now));
    }
    // The link is tried again once nothing has been connected over it.
    now += LinkMonitor::window + 1ms;
    cr_assert(!link.isFull(now));
    connectAll(link, now, 0, 12, Outcome::Established, 5ms);
    cr_assert(!link.isFull(now));
    cr_assert_eq(link.delay(now).count(), 5);
}

// Guards against judging the link by the few endpoints of one service that all answer slowly.
Test(LinkMonitor, fewAddressesAreNotJudged)
{
    LinkMonitor link;
    LinkMonitor::TimePoint now = Core::SteadyClock::now();
    connectAll(link, now, 0, LinkMonitor::minAddresses - 1, Outcome::Established, 390ms);
    cr_assert(!link.isFull(now));
    cr_assert_eq(link.delay(now).count(), 0);
}

// Guards against a host whose link fills up again whenever the balancer returns its callers.
Test(LinkMonitor, restGrowsWhileTheLinkFillsUpAgain)
{
    LinkMonitor link;
    LinkMonitor::TimePoint now = Core::SteadyClock::now();
    std::chrono::milliseconds expected = LinkMonitor::minRest;
    for (int i = 0; i < 6; ++i) {
        connectAll(link, now, 0, 8, Outcome::Established, 300ms);
        cr_assert(link.needsRest(now + expected - 1ms));
        cr_assert(!link.needsRest(now + expected));
        now += expected + 1'500ms;
        expected = std::min(2 * expected, LinkMonitor::maxRest);
    }
    now += LinkMonitor::maxRest * 2;
    connectAll(link, now, 0, 8, Outcome::Established, 300ms);
    cr_assert(!link.needsRest(now + LinkMonitor::minRest));
}

// Guards against refusing everything for a link that carries a part of the requests, and against filling it up again at once.
Test(LinkMonitor, admittedShareFollowsTheLink)
{
    LinkMonitor link;
    LinkMonitor::TimePoint now = Core::SteadyClock::now();
    cr_assert_eq(link.admittedShare(now), 1);
    connectAll(link, now, 0, 8, Outcome::Established, 300ms);
    double first = link.admittedShare(now);
    cr_assert_lt(first, 1);
    cr_assert_gt(first, 0.5);
    for (int i = 0; i < 40; ++i) {
        now += LinkMonitor::reductionInterval;
        connectAll(link, now, 0, 8, Outcome::TimedOut, connectTimeout);
    }
    cr_assert_geq(link.admittedShare(now), LinkMonitor::minAdmittedShare);
    cr_assert_leq(link.admittedShare(now), 0.15);
    connectAll(link, now + 1s, 0, 8, Outcome::Established, 5ms);
    cr_assert_lt(link.admittedShare(now + 1s), 0.5);
    cr_assert_eq(link.admittedShare(now + 5s), 1);
}

// Guards against taking the time limit of connects for the delay of a link on which messages take longer.
Test(LinkMonitor, delayBeyondTheTimeLimitOfConnectsIsMeasured)
{
    LinkMonitor link;
    LinkMonitor::TimePoint now = Core::SteadyClock::now();
    cr_assert(!link.needsTest(now));
    connectAll(link, now, 0, 8, Outcome::Established, 300ms);
    cr_assert(link.needsTest(now));
    now += 300ms;
    connectAll(link, now, 0, 8, Outcome::TimedOut, connectTimeout);
    connectAll(link, now, 100, 1, Outcome::Established, 1'400ms);
    cr_assert_eq(link.delay(now).count(), 1'400);
}
