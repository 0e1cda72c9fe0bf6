#include "Fixture.h"
#include <thread>

using namespace Witness;

namespace {

const Ledger::Holder owner { "owner", 1 };
const Ledger::Holder joiner { "joiner", 1 };

struct Setup : Fleet {
    RecordStore store;
    Settlement settlement;
    Settler settler { store, settlement.hooks(), immediate() };
    Record record { recordOf("a1", "r1", owner) };

    Setup() { settlement.streams["stream-a1"] = 120; }

    void settle() { run(settler.runOnce()); }
};

}

// Guards against a stream that is cancelled although its owner is alive on the other side of a partition.
Test(Settler, suspicionCancelsNothing)
{
    Setup setup;
    setup.store.open(setup.record, false, owner);
    for (OwnerState state : { OwnerState::Present, OwnerState::Disappeared }) {
        setup.settlement.ownerState = state;
        setup.settle();
        cr_assert(setup.settlement.cancelled.empty());
        cr_assert(setup.settlement.bills.empty());
        cr_assert_eq(setup.store.recordCount(), 1u);
    }
}

// Guards against a killed owner whose open attempt is never billed.
Test(Settler, deadOwnersStreamIsCancelledAndBilled)
{
    Setup setup;
    setup.store.open(setup.record, false, owner);
    setup.settlement.ownerState = OwnerState::ProvedDead;
    setup.settle();
    cr_assert_eq(setup.settlement.cancelled.size(), 1u);
    Ledger::Usage bill = setup.settlement.bills.at("a1");
    cr_assert_eq(bill.tokens, 120);
    cr_assert(bill.kind == Ledger::UsageKind::BrokenOff);
    cr_assert(bill.holder == owner);
    cr_assert_eq(setup.store.recordCount(), 0u);
}

// Guards against an attempt that stays open for ever because its owner is paused.
Test(Settler, attemptPastItsDeadlineIsSettled)
{
    Setup setup;
    setup.record.deadline = past();
    setup.store.open(setup.record, false, owner);
    setup.settle();
    cr_assert_eq(setup.settlement.cancelled.size(), 1u);
    cr_assert_not(setup.settlement.bills.contains("a1"), "the owner is present and submits the bill itself");
    setup.settlement.ownerState = OwnerState::Disappeared;
    setup.settle();
    cr_assert_eq(setup.settlement.bills.at("a1").tokens, 120);
}

// Guards against a second bill or another count when the owner was only paused and closes the attempt later.
Test(Settler, resumedOwnerDoesNotBillAgain, .timeout = 60)
{
    Setup setup;
    Fleet::Daemon& paused = setup.add("paused", "d1");
    Fleet::Daemon& witness = setup.add("witness", "d2");
    Record record = recordOf("a1", "r1", paused.holder());
    record.deadline = Core::Deadline::after(1ms);
    setup.open(paused, record, IdentityKind::Random);
    setup.runUntil([&witness] { return witness.store.findAttempt("a1")->record.deadline.hasPassed() || (std::this_thread::sleep_for(1ms), false); });
    Settler settler(witness.store, setup.settlement.hooks(), immediate());
    setup.settlement.ownerState = OwnerState::Disappeared;
    setup.run(settler.runOnce());
    cr_assert_eq(setup.settlement.bills.at("a1").tokens, 120);
    cr_assert_eq(witness.store.recordCount(), 0u);
    Ledger::Usage late = usageOf(record, 60);
    cr_assert(setup.close(paused, late));
    cr_assert_eq(setup.settlement.apply(late), Ledger::ResultCode::Duplicate);
    setup.run(settler.runOnce());
    cr_assert_eq(setup.settlement.bills.size(), 1u);
    cr_assert_eq(setup.settlement.bills.at("a1").tokens, 120);
}

// Guards against a settled count that replaces the owner's, which arrived while the cancellation was under way.
Test(Settler, closeDuringCancellationStays)
{
    Setup setup;
    setup.record.deadline = past();
    setup.store.open(setup.record, false, owner);
    setup.settlement.duringCancel = [&setup] { setup.store.close("a1", usageOf(setup.record, 119)); };
    setup.settlement.ownerState = OwnerState::Disappeared;
    setup.settle();
    cr_assert_eq(setup.settlement.bills.at("a1").tokens, 119);
    cr_assert(setup.settlement.bills.at("a1").kind == Ledger::UsageKind::Complete);
}

// Guards against a stream that is cancelled under a retry which has joined it.
Test(Settler, joinedStreamIsNotCancelled)
{
    Setup setup;
    setup.store.open(setup.record, true, owner);
    cr_assert_eq(setup.store.open(recordOf("a2", "r1", joiner), true, joiner).status, OpenStatus::Existing);
    setup.settlement.otherStates[owner] = OwnerState::ProvedDead;
    setup.settle();
    cr_assert(setup.settlement.cancelled.empty());
    setup.settlement.otherStates[joiner] = OwnerState::ProvedDead;
    setup.settle();
    cr_assert_eq(setup.settlement.cancelled.size(), 1u);
    cr_assert_eq(setup.settlement.bills.size(), 1u);
}

// Guards against a joiner that arrives while an earlier attempt is being cancelled and is overlooked.
Test(Settler, joinerDuringRoundIsRespected)
{
    Setup setup;
    Record later = recordOf("b1", "r2", owner);
    setup.settlement.streams["stream-b1"] = 7;
    setup.store.open(setup.record, true, owner);
    setup.store.open(later, true, owner);
    setup.settlement.otherStates[owner] = OwnerState::ProvedDead;
    setup.settlement.duringCancel = [&setup] { setup.store.open(recordOf("b2", "r2", joiner), true, joiner); };
    setup.settle();
    cr_assert_eq(setup.settlement.cancelled.size(), 1u);
    cr_assert_eq(setup.settlement.cancelled.front(), "stream-a1");
}

// Guards against closed records of a killed owner that are lost, or dropped before the ledger holds them.
Test(Settler, closedRecordsOfALostOwnerAreSubmitted)
{
    Setup setup;
    setup.store.open(setup.record, false, owner);
    setup.store.close("a1", usageOf(setup.record, 50));
    setup.settle();
    cr_assert(setup.settlement.bills.empty());
    setup.settlement.ownerState = OwnerState::Disappeared;
    setup.settlement.isLedgerDown = true;
    setup.settle();
    cr_assert_eq(setup.store.recordCount(), 1u);
    setup.settlement.isLedgerDown = false;
    setup.settle();
    cr_assert_eq(setup.settlement.bills.at("a1").tokens, 50);
    cr_assert_eq(setup.store.recordCount(), 0u);
    cr_assert(setup.settlement.cancelled.empty());
}

// Guards against an attempt that is billed with a guess, or given up, while its endpoint cannot be reached.
Test(Settler, unreachableEndpointIsTriedAgain)
{
    Setup setup;
    setup.record.deadline = past();
    setup.store.open(setup.record, false, owner);
    setup.settlement.ownerState = OwnerState::Disappeared;
    setup.settlement.isEndpointDown = true;
    for (int i = 0; i < 5; ++i)
        setup.settle();
    cr_assert(setup.settlement.bills.empty());
    cr_assert_eq(setup.store.recordCount(), 1u);
    setup.settlement.isEndpointDown = false;
    setup.settle();
    cr_assert_eq(setup.settlement.bills.at("a1").tokens, 120);
}

// Guards against a tight loop of calls to an endpoint that is down.
Test(Settler, retriesAreDelayed)
{
    Fleet fleet;
    RecordStore store;
    Settlement settlement;
    SettlerLimits limits = immediate();
    limits.firstRetryDelay = 1h;
    limits.lastRetryDelay = 1h;
    Settler settler(store, settlement.hooks(), limits);
    int tries = 0;
    settlement.isEndpointDown = true;
    settlement.duringCancel = [&tries] { ++tries; };
    for (const char* attemptId : { "a1", "a2", "a3" }) {
        Record record = recordOf(attemptId, attemptId, owner);
        record.deadline = past();
        store.open(record, false, owner);
    }
    for (int i = 0; i < 5; ++i)
        fleet.run(settler.runOnce());
    cr_assert_eq(tries, 1);
}

// Guards against a bill of zero while the dispatch is still in flight, and against an attempt that is never settled
// because its owner died before the dispatch.
Test(Settler, unknownStreamIsBilledAfterConfirmation)
{
    Setup setup;
    setup.store.open(setup.record, false, owner);
    setup.settlement.streams.clear();
    setup.settlement.ownerState = OwnerState::ProvedDead;
    setup.settle();
    cr_assert(setup.settlement.bills.empty());
    setup.settle();
    cr_assert_eq(setup.settlement.bills.at("a1").tokens, 0);
    // Another attempt, since an identity is not opened again while its record is retained.
    setup.store.open(recordOf("a2", "r2", owner), false, owner);
    setup.settle();
    setup.settlement.streams["stream-a2"] = 33;
    setup.settle();
    cr_assert_eq(setup.settlement.bills.at("a2").tokens, 33);
}

// Guards against a flushed notice that was lost and leaves its record in memory for ever.
Test(Settler, oldClosedRecordsOfPresentOwnersAreSubmitted)
{
    Fleet fleet;
    RecordStore store;
    Settlement settlement;
    SettlerLimits limits = immediate();
    limits.closedGrace = 0ms;
    Settler settler(store, settlement.hooks(), limits);
    Record record = recordOf("a1", "r1", owner);
    store.open(record, false, owner);
    store.close("a1", usageOf(record, 5));
    settlement.apply(usageOf(record, 5));
    fleet.run(settler.runOnce());
    cr_assert_eq(store.recordCount(), 0u);
    cr_assert_eq(settlement.bills.size(), 1u);
}

// Guards against records that a draining daemon takes with it.
Test(Settler, submitAllBeforeShutdown)
{
    Setup setup;
    for (int i = 0; i < 1200; ++i) {
        Record record = recordOf("c" + std::to_string(i), "r" + std::to_string(i), owner);
        setup.store.open(record, false, owner);
        setup.store.close(record.attemptId, usageOf(record, i));
    }
    setup.settlement.isLedgerDown = true;
    cr_assert_not(setup.run(setup.settler.submitAll()));
    setup.settlement.isLedgerDown = false;
    cr_assert(setup.run(setup.settler.submitAll()));
    cr_assert_eq(setup.settlement.bills.size(), 1200u);
    cr_assert_eq(setup.store.recordCount(), 0u);
}
