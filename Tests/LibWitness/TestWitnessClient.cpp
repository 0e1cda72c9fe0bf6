#include "Fixture.h"

using namespace Witness;

namespace {

// Two daemons in one failure domain, and one daemon in each of two others.
struct FourDaemonFleet : Fleet {
    Daemon& first { add("first", "d1") };
    Daemon& neighbour { add("neighbour", "d1") };
    Daemon& second { add("second", "d2") };
    Daemon& third { add("third", "d3") };
};

}

// The copy must be outside the owner's failure domain, and must be removed after the flush.
Test(WitnessClient, openCloseFlush, .timeout = 60)
{
    FourDaemonFleet fleet;
    Record record = recordOf("a1", "r1", fleet.neighbour.holder());
    OpenResult result = fleet.open(fleet.neighbour, record, IdentityKind::Random);
    cr_assert_eq(result.witness, "second");
    cr_assert_not(result.existing);
    cr_assert_eq(fleet.first.store.recordCount(), 0u);
    cr_assert(fleet.close(fleet.neighbour, usageOf(record, 42)));
    cr_assert_eq(fleet.second.store.findAttempt("a1")->record.usage->tokens, 42);
    fleet.neighbour.client.markFlushed({ "a1" });
    fleet.runUntil([&fleet] { return fleet.second.store.recordCount() == 0; });
    cr_assert(fleet.neighbour.client.unflushed().empty());
}

// Without a witness outside the owner's failure domain, opening and closing must fail.
Test(WitnessClient, failsWithoutWitness, .timeout = 60)
{
    Fleet fleet;
    Fleet::Daemon& owner = fleet.add("owner", "d1");
    fleet.add("neighbour", "d1");
    Core::Reason reason;
    for (IdentityKind kind : { IdentityKind::Random, IdentityKind::IdempotencyKey }) {
        cr_assert_not(fleet.run(owner.client.open(recordOf("a1", "r1", owner.holder()), testDeadline(), reason, kind)));
        cr_assert_eq(reason.kind, Core::FailureKind::Unavailable);
        cr_assert(owner.client.unflushed().empty());
        cr_assert_eq(owner.store.recordCount(), 0u);
    }
    cr_assert_not(fleet.close(owner, usageOf(recordOf("a1", "r1", owner.holder()), 1)));
}

// A retry must join the open attempt instead of running the request again, whichever daemons the two are sent to. The
// witness is either the first daemon in the order or the first one outside its failure domain.
Test(WitnessClient, retryJoinsOpenAttempt, .timeout = 120)
{
    for (const char* ownerHost : { "first", "neighbour", "second", "third" }) {
        for (const char* retryHost : { "first", "neighbour", "second", "third" }) {
            FourDaemonFleet fleet;
            Fleet::Daemon& owner = *fleet.daemons[ownerHost];
            Fleet::Daemon& retry = *fleet.daemons[retryHost];
            Record record = recordOf("a1", "r1", owner.holder());
            cr_assert_not(fleet.open(owner, record).existing);
            OpenResult result = fleet.open(retry, recordOf("a2", "r1", retry.holder()));
            cr_assert(result.existing, "owner %s, retry %s", ownerHost, retryHost);
            cr_assert_eq(result.existing->attemptId, "a1");
            cr_assert_not(result.existing->usage);
            // The retry closes the joined attempt. No record of its own attempt remains.
            cr_assert(fleet.close(retry, usageOf(record, 9)));
            for (auto& [host, daemon] : fleet.daemons)
                cr_assert_not(daemon->store.findAttempt("a2"));
            OpenResult later = fleet.open(fleet.third, recordOf("a3", "r1", fleet.third.holder()));
            cr_assert(later.existing && later.existing->usage, "owner %s, retry %s", ownerHost, retryHost);
            cr_assert_eq(later.existing->usage->tokens, 9);
        }
    }
}

// Exactly one of several concurrent attempts of a request must run; the others must join it.
Test(WitnessClient, concurrentAttemptsHaveOneWinner, .timeout = 120)
{
    for (int round = 0; round < 20; ++round) {
        FourDaemonFleet fleet;
        int running = 0;
        int joined = 0;
        for (auto& [host, daemon] : fleet.daemons) {
            Core::spawn(fleet.context.get_executor(), "open", [](Fleet::Daemon& daemon, int& running, int& joined) -> Core::Task<void> {
                Core::Reason reason;
                std::optional<OpenResult> result = co_await daemon.client.open(
                    recordOf("attempt of " + daemon.member.host, "r1", daemon.holder()), testDeadline(), reason, IdentityKind::IdempotencyKey);
                cr_assert(result, "%s", reason.text().c_str());
                ++(result->existing ? joined : running);
            }(*daemon, running, joined));
        }
        fleet.runUntil([&] { return running + joined == 4; });
        cr_assert_eq(running, 1);
    }
}

// A retry must find an attempt that was opened at the second candidate because the first one was unreachable.
Test(WitnessClient, retryFindsAttemptAtSecondCandidate, .timeout = 120)
{
    for (const char* ownerHost : { "neighbour", "second", "third" }) {
        for (const char* retryHost : { "neighbour", "second", "third" }) {
            FourDaemonFleet fleet;
            fleet.first.network.close();
            Fleet::Daemon& owner = *fleet.daemons[ownerHost];
            Fleet::Daemon& retry = *fleet.daemons[retryHost];
            cr_assert_not(fleet.open(owner, recordOf("a1", "r1", owner.holder())).existing);
            OpenResult result = fleet.open(retry, recordOf("a2", "r1", retry.holder()));
            cr_assert(result.existing, "owner %s, retry %s", ownerHost, retryHost);
            cr_assert_eq(result.existing->attemptId, "a1");
        }
    }
}

// If the first candidate has lost the earlier attempt, the record that the retry opened there must be removed.
Test(WitnessClient, ownRecordIsRemovedWhenEarlierAttemptIsFound, .timeout = 60)
{
    FourDaemonFleet fleet;
    fleet.second.store.open(recordOf("a1", "r1", fleet.first.holder()), true, fleet.first.holder());
    OpenResult result = fleet.open(fleet.third, recordOf("a2", "r1", fleet.third.holder()));
    cr_assert(result.existing);
    cr_assert_eq(result.existing->attemptId, "a1");
    cr_assert_eq(fleet.second.store.findAttempt("a1")->joiners.size(), 1u);
    fleet.runUntil([&fleet] { return fleet.first.store.recordCount() == 0; });
    cr_assert_eq(fleet.third.client.unflushed().size(), 1u);
}

// A partitioned witness must not block the owner until the deadline of the request.
Test(WitnessClient, partitionedWitnessIsSkipped, .timeout = 60)
{
    FourDaemonFleet fleet;
    fleet.partition("second");
    Record record = recordOf("a1", "r1", fleet.first.holder());
    cr_assert_eq(fleet.open(fleet.first, record, IdentityKind::Random).witness, "third");
    cr_assert(fleet.close(fleet.first, usageOf(record, 3)));
    cr_assert_eq(fleet.third.store.findAttempt("a1")->record.usage->tokens, 3);
}

// If the witness has died, the usage must be replicated to another one, or the owner's copy would be the only one.
Test(WitnessClient, closeAfterWitnessDied, .timeout = 60)
{
    FourDaemonFleet fleet;
    Record record = recordOf("a1", "r1", fleet.first.holder());
    cr_assert_eq(fleet.open(fleet.first, record).witness, "second");
    fleet.second.network.close();
    cr_assert(fleet.close(fleet.first, usageOf(record, 3)));
    cr_assert_eq(fleet.third.store.findAttempt("a1")->record.usage->tokens, 3);
}

// A restarted witness has lost its records, so closing must send it the whole record.
Test(WitnessClient, closeAtRestartedWitness, .timeout = 60)
{
    FourDaemonFleet fleet;
    Record record = recordOf("a1", "r1", fleet.first.holder());
    fleet.open(fleet.first, record);
    fleet.second.store.markFlushed({ "a1" });
    cr_assert(fleet.close(fleet.first, usageOf(record, 3)));
    cr_assert_eq(fleet.second.store.findAttempt("a1")->record.usage->tokens, 3);
}

// If a witness is suspected, leaves or drains, its open and closed records must be replicated to another one.
Test(WitnessClient, recordsAreResentWhenTheWitnessIsLost, .timeout = 60)
{
    for (Membership::MemberState state : { Membership::MemberState::Suspect, Membership::MemberState::Left, Membership::MemberState::Draining }) {
        FourDaemonFleet fleet;
        Record open = recordOf("a1", "r1", fleet.first.holder());
        Record closed = recordOf("a2", "r2", fleet.first.holder());
        fleet.open(fleet.first, open, IdentityKind::Random);
        fleet.open(fleet.first, closed, IdentityKind::Random);
        cr_assert(fleet.close(fleet.first, usageOf(closed, 8)));
        fleet.run(fleet.first.client.resendUnreplicated(testDeadline()));
        cr_assert_eq(fleet.third.store.recordCount(), 0u);
        fleet.setState("second", state);
        fleet.run(fleet.first.client.resendUnreplicated(testDeadline()));
        cr_assert_eq(fleet.third.store.recordCount(), 2u);
        cr_assert_not(fleet.third.store.findAttempt("a1")->record.usage);
        cr_assert_eq(fleet.third.store.findAttempt("a2")->record.usage->tokens, 8);
        fleet.first.client.markFlushed({ "a1", "a2" });
        fleet.runUntil([&fleet] { return fleet.third.store.recordCount() == 0 && fleet.second.store.recordCount() == 0; });
    }
}

// A witness that has restarted with an empty store must be sent its records again.
Test(WitnessClient, recordsAreResentToARestartedWitness, .timeout = 60)
{
    FourDaemonFleet fleet;
    fleet.open(fleet.first, recordOf("a1", "r1", fleet.first.holder()), IdentityKind::Random);
    fleet.second.store.markFlushed({ "a1" });
    for (Membership::Member& member : fleet.members)
        member.incarnation += member.host == "second";
    fleet.run(fleet.first.client.resendUnreplicated(testDeadline()));
    cr_assert(fleet.second.store.findAttempt("a1"));
    // A second pass does not send the record again, since the new incarnation has acknowledged it.
    fleet.second.store.markFlushed({ "a1" });
    fleet.run(fleet.first.client.resendUnreplicated(testDeadline()));
    cr_assert_not(fleet.second.store.findAttempt("a1"));
}

// When its caller disconnects, the owner must not cancel a stream that a retry has joined.
Test(WitnessClient, ownerDetectsJoiner, .timeout = 60)
{
    FourDaemonFleet fleet;
    Record record = recordOf("a1", "r1", fleet.first.holder());
    fleet.open(fleet.first, record);
    cr_assert_not(fleet.run(fleet.first.client.isJoined("a1", testDeadline())));
    fleet.open(fleet.third, recordOf("a2", "r1", fleet.third.holder()));
    cr_assert(fleet.run(fleet.first.client.isJoined("a1", testDeadline())));
}

// A full witness does not store the record, so the next one must be used.
Test(WitnessClient, fullWitnessIsSkipped, .timeout = 60)
{
    FourDaemonFleet fleet;
    fleet.second.store = RecordStore(0);
    cr_assert_eq(fleet.open(fleet.first, recordOf("a1", "r1", fleet.first.holder())).witness, "third");
}

// A holder's records must be found at other daemons before its grant is released.
Test(WitnessClient, recordsOfHolderAreListed, .timeout = 60)
{
    FourDaemonFleet fleet;
    fleet.open(fleet.first, recordOf("a1", "r1", fleet.first.holder()));
    Core::Reason reason;
    std::optional<std::vector<Record>> records = fleet.run([](FourDaemonFleet& fleet, Core::Reason& reason) -> Core::Task<std::optional<std::vector<Record>>> {
        co_return co_await fetchRecordsOf(fleet.third.network, fleet.second.member.peerAddress, fleet.first.holder(), testDeadline(), reason);
    }(fleet, reason));
    cr_assert(records, "%s", reason.text().c_str());
    cr_assert_eq(records->size(), 1u);
    cr_assert_eq(records->front().attemptId, "a1");
}
