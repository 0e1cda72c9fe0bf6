#include "Fixture.h"
#include <thread>

using namespace Witness;

namespace {

const Ledger::Holder owner { "owner", 1 };
const Ledger::Holder joiner { "joiner", 1 };

struct SettlerFixture : Fleet {
    RecordStore store;
    FakeLedgerAndEndpoint backends;
    Settler settler { store, backends.hooks(), settingsWithoutDelays() };
    Record record { recordOf("a1", "r1", owner) };

    SettlerFixture() { backends.streams["stream-a1"] = 120; }

    void settle() { run(settler.runOnce()); }
};

}

// An unreachable owner may be alive behind a partition, so its stream must not be cancelled.
Test(Settler, unreachableOwnersStreamIsNotCancelled)
{
    SettlerFixture fixture;
    fixture.store.open(fixture.record, false, owner);
    for (OwnerState state : { OwnerState::Alive, OwnerState::Unreachable }) {
        fixture.backends.ownerState = state;
        fixture.settle();
        cr_assert(fixture.backends.cancelled.empty());
        cr_assert(fixture.backends.bills.empty());
        cr_assert_eq(fixture.store.recordCount(), 1u);
    }
}

// The open attempt of a killed owner must be cancelled and billed.
Test(Settler, deadOwnersStreamIsCancelledAndBilled)
{
    SettlerFixture fixture;
    fixture.store.open(fixture.record, false, owner);
    fixture.backends.ownerState = OwnerState::ConfirmedDead;
    fixture.settle();
    cr_assert_eq(fixture.backends.cancelled.size(), 1u);
    Ledger::Usage bill = fixture.backends.bills.at("a1");
    cr_assert_eq(bill.tokens, 120);
    cr_assert(bill.kind == Ledger::UsageKind::BrokenOff);
    cr_assert(bill.holder == owner);
    cr_assert_eq(fixture.store.recordCount(), 0u);
}

// An attempt must not stay open forever because its owner is paused.
Test(Settler, attemptPastItsDeadlineIsSettled)
{
    SettlerFixture fixture;
    fixture.record.deadline = expiredDeadline();
    fixture.store.open(fixture.record, false, owner);
    fixture.settle();
    cr_assert_eq(fixture.backends.cancelled.size(), 1u);
    cr_assert_not(fixture.backends.bills.contains("a1"), "the owner is alive and submits the usage itself");
    fixture.backends.ownerState = OwnerState::Unreachable;
    fixture.settle();
    cr_assert_eq(fixture.backends.bills.at("a1").tokens, 120);
}

// If the owner was only paused and closes the attempt later, there must be no second bill and no other count.
Test(Settler, resumedOwnerDoesNotBillAgain, .timeout = 60)
{
    SettlerFixture fixture;
    Fleet::Daemon& paused = fixture.add("paused", "d1");
    Fleet::Daemon& witness = fixture.add("witness", "d2");
    Record record = recordOf("a1", "r1", paused.holder());
    record.deadline = Core::Deadline::after(1ms);
    fixture.open(paused, record, IdentityKind::Random);
    fixture.runUntil([&witness] { return witness.store.findAttempt("a1")->record.deadline.hasPassed() || (std::this_thread::sleep_for(1ms), false); });
    Settler settler(witness.store, fixture.backends.hooks(), settingsWithoutDelays());
    fixture.backends.ownerState = OwnerState::Unreachable;
    fixture.run(settler.runOnce());
    cr_assert_eq(fixture.backends.bills.at("a1").tokens, 120);
    cr_assert_eq(witness.store.recordCount(), 0u);
    Ledger::Usage late = usageOf(record, 60);
    cr_assert(fixture.close(paused, late));
    cr_assert_eq(fixture.backends.apply(late), Ledger::ResultCode::Duplicate);
    fixture.run(settler.runOnce());
    cr_assert_eq(fixture.backends.bills.size(), 1u);
    cr_assert_eq(fixture.backends.bills.at("a1").tokens, 120);
}

// If the owner closes the attempt during the cancellation, the owner's count must be kept.
Test(Settler, ownersCloseDuringCancellationIsKept)
{
    SettlerFixture fixture;
    fixture.record.deadline = expiredDeadline();
    fixture.store.open(fixture.record, false, owner);
    fixture.backends.onCancel = [&fixture] { fixture.store.close("a1", usageOf(fixture.record, 119)); };
    fixture.backends.ownerState = OwnerState::Unreachable;
    fixture.settle();
    cr_assert_eq(fixture.backends.bills.at("a1").tokens, 119);
    cr_assert(fixture.backends.bills.at("a1").kind == Ledger::UsageKind::Complete);
}

// A stream must not be cancelled while a retry that has joined it may still read it.
Test(Settler, joinedStreamIsNotCancelled)
{
    SettlerFixture fixture;
    fixture.store.open(fixture.record, true, owner);
    cr_assert_eq(fixture.store.open(recordOf("a2", "r1", joiner), true, joiner).status, OpenStatus::Existing);
    fixture.backends.otherStates[owner] = OwnerState::ConfirmedDead;
    fixture.settle();
    cr_assert(fixture.backends.cancelled.empty());
    fixture.backends.otherStates[joiner] = OwnerState::ConfirmedDead;
    fixture.settle();
    cr_assert_eq(fixture.backends.cancelled.size(), 1u);
    cr_assert_eq(fixture.backends.bills.size(), 1u);
}

// A joiner that arrives while another attempt is being cancelled in the same pass must not be overlooked.
Test(Settler, joinerDuringPassPreventsCancellation)
{
    SettlerFixture fixture;
    Record later = recordOf("b1", "r2", owner);
    fixture.backends.streams["stream-b1"] = 7;
    fixture.store.open(fixture.record, true, owner);
    fixture.store.open(later, true, owner);
    fixture.backends.otherStates[owner] = OwnerState::ConfirmedDead;
    fixture.backends.onCancel = [&fixture] { fixture.store.open(recordOf("b2", "r2", joiner), true, joiner); };
    fixture.settle();
    cr_assert_eq(fixture.backends.cancelled.size(), 1u);
    cr_assert_eq(fixture.backends.cancelled.front(), "stream-a1");
}

// Closed records of a lost owner must be submitted, and must not be removed before the ledger has stored them.
Test(Settler, closedRecordsOfALostOwnerAreSubmitted)
{
    SettlerFixture fixture;
    fixture.store.open(fixture.record, false, owner);
    fixture.store.close("a1", usageOf(fixture.record, 50));
    fixture.settle();
    cr_assert(fixture.backends.bills.empty());
    fixture.backends.ownerState = OwnerState::Unreachable;
    fixture.backends.isLedgerDown = true;
    fixture.settle();
    cr_assert_eq(fixture.store.recordCount(), 1u);
    fixture.backends.isLedgerDown = false;
    fixture.settle();
    cr_assert_eq(fixture.backends.bills.at("a1").tokens, 50);
    cr_assert_eq(fixture.store.recordCount(), 0u);
    cr_assert(fixture.backends.cancelled.empty());
}

// While an endpoint is unreachable, its attempts must neither be billed with an assumed count nor abandoned.
Test(Settler, unreachableEndpointIsRetried)
{
    SettlerFixture fixture;
    fixture.record.deadline = expiredDeadline();
    fixture.store.open(fixture.record, false, owner);
    fixture.backends.ownerState = OwnerState::Unreachable;
    fixture.backends.isEndpointDown = true;
    for (int i = 0; i < 5; ++i)
        fixture.settle();
    cr_assert(fixture.backends.bills.empty());
    cr_assert_eq(fixture.store.recordCount(), 1u);
    fixture.backends.isEndpointDown = false;
    fixture.settle();
    cr_assert_eq(fixture.backends.bills.at("a1").tokens, 120);
}

// An endpoint that is down must not be called again without a delay.
Test(Settler, retriesAreDelayed)
{
    Fleet fleet;
    RecordStore store;
    FakeLedgerAndEndpoint backends;
    SettlerSettings settings = settingsWithoutDelays();
    settings.initialRetryDelay = 1h;
    settings.maxRetryDelay = 1h;
    Settler settler(store, backends.hooks(), settings);
    int tries = 0;
    backends.isEndpointDown = true;
    backends.onCancel = [&tries] { ++tries; };
    for (const char* attemptId : { "a1", "a2", "a3" }) {
        Record record = recordOf(attemptId, attemptId, owner);
        record.deadline = expiredDeadline();
        store.open(record, false, owner);
    }
    for (int i = 0; i < 5; ++i)
        fleet.run(settler.runOnce());
    cr_assert_eq(tries, 1);
}

// An attempt must not be billed with 0 tokens while its dispatch is still in flight, but must eventually be settled if
// its owner died before the dispatch.
Test(Settler, unknownStreamIsBilledAfterConfirmation)
{
    SettlerFixture fixture;
    fixture.store.open(fixture.record, false, owner);
    fixture.backends.streams.clear();
    fixture.backends.ownerState = OwnerState::ConfirmedDead;
    fixture.settle();
    cr_assert(fixture.backends.bills.empty());
    fixture.settle();
    cr_assert_eq(fixture.backends.bills.at("a1").tokens, 0);
    // Use another attempt, since an attempt cannot be opened again while its record is retained.
    fixture.store.open(recordOf("a2", "r2", owner), false, owner);
    fixture.settle();
    fixture.backends.streams["stream-a2"] = 33;
    fixture.settle();
    cr_assert_eq(fixture.backends.bills.at("a2").tokens, 33);
}

// If a flushed notice is lost, the record must not stay in memory forever.
Test(Settler, oldClosedRecordsOfAliveOwnersAreSubmitted)
{
    Fleet fleet;
    RecordStore store;
    FakeLedgerAndEndpoint backends;
    SettlerSettings settings = settingsWithoutDelays();
    settings.closedSubmitDelay = 0ms;
    Settler settler(store, backends.hooks(), settings);
    Record record = recordOf("a1", "r1", owner);
    store.open(record, false, owner);
    store.close("a1", usageOf(record, 5));
    backends.apply(usageOf(record, 5));
    fleet.run(settler.runOnce());
    cr_assert_eq(store.recordCount(), 0u);
    cr_assert_eq(backends.bills.size(), 1u);
}

// A draining daemon must submit all closed records before it exits, or they would be lost.
Test(Settler, submitAllBeforeShutdown)
{
    SettlerFixture fixture;
    for (int i = 0; i < 1200; ++i) {
        Record record = recordOf("c" + std::to_string(i), "r" + std::to_string(i), owner);
        fixture.store.open(record, false, owner);
        fixture.store.close(record.attemptId, usageOf(record, i));
    }
    fixture.backends.isLedgerDown = true;
    cr_assert_not(fixture.run(fixture.settler.submitAll()));
    fixture.backends.isLedgerDown = false;
    cr_assert(fixture.run(fixture.settler.submitAll()));
    cr_assert_eq(fixture.backends.bills.size(), 1200u);
    cr_assert_eq(fixture.store.recordCount(), 0u);
}
