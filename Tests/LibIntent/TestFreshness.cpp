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

// Guards against a daemon that dispatches before anything has confirmed its intent.
Test(Freshness, nothingIsDispatchedUnconfirmed)
{
    Fixture fixture;
    cr_assert(fixture.state() == FreshnessState::Unconfirmed);
    cr_assert_not(fixture.mayDispatch());
    fixture.freshness.peerHeard("b", fixture.now);
    cr_assert_not(fixture.mayDispatch());
}

// Guards against a limit that is off: fresh up to 4 s, an isolated daemon refuses after 6 s.
Test(Freshness, isolatedDaemonRefusesAfterItsLimit)
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
    // A daemon of the same failure domain may be cut off together with this one.
    fixture.freshness.peerConfirmed("a", 5, seconds(7), fixture.now);
    cr_assert_not(fixture.mayDispatch());
}

// Guards against a platform outage that stops the fleet, and against one that never stops it.
Test(Freshness, outageContinuesForItsLimit)
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

// Guards against a daemon in an outage that is cut off as well and continues for the rest of the outage limit.
Test(Freshness, isolationDuringAnOutageRefuses)
{
    Fixture fixture;
    fixture.freshness.platformConfirmed(5, fixture.now);
    fixture.now += seconds(600);
    fixture.freshness.peerHeard("b", fixture.now);
    cr_assert(fixture.mayDispatch());
    fixture.now += milliseconds(6000);
    cr_assert(fixture.mayDispatch());
    fixture.now += milliseconds(1);
    cr_assert_not(fixture.mayDispatch());
}

// Guards against a paused daemon that dispatches on old intent after it resumes: time jumps, and answers that lay in
// its receive buffer say what was true when it asked.
Test(Freshness, freezeDoesNotRefresh)
{
    Fixture fixture;
    fixture.freshness.platformConfirmed(5, fixture.now);
    Core::SteadyClock::time_point askedAt = fixture.now + seconds(1);
    fixture.now += seconds(30);
    cr_assert_not(fixture.mayDispatch());
    fixture.freshness.peerConfirmed("b", 5, milliseconds(200), askedAt);
    fixture.freshness.platformConfirmed(5, askedAt);
    cr_assert_not(fixture.mayDispatch());
    fixture.freshness.peerConfirmed("b", 5, milliseconds(200), fixture.now);
    cr_assert(fixture.mayDispatch());
}

// Guards against a daemon that is known to be behind and continues as in an outage, and against a confirmation of a
// newer generation that counts for the older one.
Test(Freshness, knownNewerGenerationEndsDispatch)
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

// Guards against an older generation's confirmation that is discarded although it proves that nothing newer existed,
// and against ages that grow younger from peer to peer.
Test(Freshness, olderConfirmationCountsAndAgesAddUp)
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
