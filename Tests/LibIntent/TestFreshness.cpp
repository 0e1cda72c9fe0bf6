#include "LibIntent/Freshness.h"

#include <criterion/criterion.h>

using namespace Intent;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct Fixture {
    Core::SteadyClock::time_point now { std::chrono::hours(1000) };
    Freshness freshness { "a", {} };

    explicit Fixture(uint64_t generation = 5)
    {
        freshness.adopted(generation);
    }
    bool mayDispatch() const { return freshness.mayDispatch(now); }
    FreshnessState state() const { return freshness.state(now); }
};

}

// A daemon must not dispatch before its intent has been confirmed.
Test(Freshness, doesNotDispatchUnconfirmed)
{
    Fixture fixture;
    cr_assert(fixture.state() == FreshnessState::Unconfirmed);
    cr_assert_not(fixture.mayDispatch());
    fixture.freshness.peerResponded("b", fixture.now);
    cr_assert_not(fixture.mayDispatch());
}

// The limits are exact: a daemon is fresh up to 4 s, and an isolated daemon stops dispatching after 6 s.
Test(Freshness, isolatedDaemonStopsAfterLimit)
{
    Fixture fixture;
    fixture.freshness.platformConfirmed(5, fixture.now);
    fixture.now += milliseconds(4000);
    cr_assert(fixture.state() == FreshnessState::Fresh);
    fixture.now += milliseconds(1);
    cr_assert(fixture.state() == FreshnessState::Isolated);
    fixture.now += milliseconds(1999);
    cr_assert(fixture.mayDispatch());
    fixture.now += milliseconds(1);
    cr_assert_not(fixture.mayDispatch());
    // A daemon of the same failure domain may be affected by the same network partition.
    fixture.freshness.peerConfirmed("a", 5, seconds(7), fixture.now);
    cr_assert_not(fixture.mayDispatch());
}

// During a platform outage daemons must continue to dispatch up to the outage limit, but not longer.
Test(Freshness, outageDispatchesUpToLimit)
{
    Fixture fixture;
    Core::SteadyClock::time_point start = fixture.now;
    fixture.freshness.platformConfirmed(5, start);
    while (fixture.now - start < seconds(3600)) {
        fixture.now += seconds(1);
        milliseconds age = std::chrono::duration_cast<milliseconds>(fixture.now - start);
        fixture.freshness.peerConfirmed("b", 5, age, fixture.now);
        cr_assert(fixture.mayDispatch());
    }
    cr_assert(fixture.state() == FreshnessState::Outage);
    fixture.now += milliseconds(1);
    cr_assert_not(fixture.mayDispatch());
    fixture.freshness.platformConfirmed(5, fixture.now);
    cr_assert(fixture.mayDispatch());
}

// A daemon that becomes isolated during an outage must not continue for the rest of the outage limit.
Test(Freshness, isolationDuringOutageStopsDispatch)
{
    Fixture fixture;
    fixture.freshness.platformConfirmed(5, fixture.now);
    fixture.now += seconds(600);
    fixture.freshness.peerResponded("b", fixture.now);
    cr_assert(fixture.mayDispatch());
    fixture.now += milliseconds(6000);
    cr_assert(fixture.mayDispatch());
    fixture.now += milliseconds(1);
    cr_assert_not(fixture.mayDispatch());
}

// A suspended daemon must not dispatch with outdated intent after it resumes: time has passed, and responses from its
// receive buffer reflect the time of the request.
Test(Freshness, bufferedResponsesDoNotRefresh)
{
    Fixture fixture;
    fixture.freshness.platformConfirmed(5, fixture.now);
    Core::SteadyClock::time_point requestSentAt = fixture.now + seconds(1);
    fixture.now += seconds(30);
    cr_assert_not(fixture.mayDispatch());
    fixture.freshness.peerConfirmed("b", 5, milliseconds(200), requestSentAt);
    fixture.freshness.platformConfirmed(5, requestSentAt);
    cr_assert_not(fixture.mayDispatch());
    fixture.freshness.peerConfirmed("b", 5, milliseconds(200), fixture.now);
    cr_assert(fixture.mayDispatch());
}

// A daemon that knows of a newer generation must not continue as in an outage, and a confirmation of the newer
// generation must not count for the older one.
Test(Freshness, newerGenerationStopsDispatch)
{
    Fixture fixture;
    fixture.freshness.platformConfirmed(5, fixture.now);
    fixture.now += seconds(4);
    fixture.freshness.peerConfirmed("b", 6, milliseconds(100), fixture.now);
    cr_assert(fixture.mayDispatch());
    fixture.now += milliseconds(1);
    cr_assert(fixture.state() == FreshnessState::Behind);
    cr_assert_not(fixture.mayDispatch());
    fixture.freshness.adopted(6);
    cr_assert(fixture.state() == FreshnessState::Fresh);
    cr_assert(fixture.mayDispatch());
}

// A confirmation of an older generation proves that nothing newer existed and must count. Its age must not decrease as
// it is relayed between peers.
Test(Freshness, acceptsOlderConfirmationAndRoundsAgeUp)
{
    Fixture fixture(9);
    fixture.freshness.peerConfirmed("b", 8, milliseconds(1500), fixture.now);
    cr_assert(fixture.state() == FreshnessState::Fresh);
    fixture.now += std::chrono::microseconds(1500);
    cr_assert_eq(fixture.freshness.confirmationAge(fixture.now)->count(), 1502);
    cr_assert_eq(*fixture.freshness.confirmedGeneration(), 8u);
    fixture.freshness.peerConfirmed("b", 8, milliseconds(3000), fixture.now);
    cr_assert_eq(fixture.freshness.confirmationAge(fixture.now)->count(), 1502);
}
