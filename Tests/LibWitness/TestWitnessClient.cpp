#include "Fixture.h"

using namespace Witness;

namespace {

// Two daemons in the first failure domain and one in each of two others.
struct Standard : Fleet {
    Daemon& first { add("first", "d1") };
    Daemon& neighbour { add("neighbour", "d1") };
    Daemon& second { add("second", "d2") };
    Daemon& third { add("third", "d3") };
};

}

// Guards against a copy in the owner's own failure domain, and against records that stay after the flush.
Test(WitnessClient, openCloseFlush, .timeout = 60)
{
    Standard fleet;
    Record record = recordOf("a1", "r1", fleet.neighbour.holder());
    OpenResult result = fleet.open(fleet.neighbour, record, IdentityKind::Random);
    cr_assert_eq(result.witness, "second");
    cr_assert_not(result.existing);
    cr_assert_eq(fleet.first.store.recordCount(), 0u);
    cr_assert(fleet.close(fleet.neighbour, usageOf(record, 42)));
    cr_assert_eq(fleet.second.store.findAttempt("a1")->record.usage->tokens, 42);
    fleet.neighbour.client.flushed({ "a1" });
    fleet.runUntil([&fleet] { return fleet.second.store.recordCount() == 0; });
    cr_assert(fleet.neighbour.client.unflushed().empty());
}

// Guards against an acknowledgement without any witness outside the owner's failure domain.
Test(WitnessClient, noWitnessIsAFailure, .timeout = 60)
{
    Fleet fleet;
    Fleet::Daemon& owner = fleet.add("owner", "d1");
    fleet.add("neighbour", "d1");
    Core::Reason reason;
    for (IdentityKind kind : { IdentityKind::Random, IdentityKind::IdempotencyKey }) {
        cr_assert_not(fleet.run(owner.client.open(recordOf("a1", "r1", owner.holder()), soon(), reason, kind)));
        cr_assert_eq(reason.kind, Core::FailureKind::Unavailable);
        cr_assert(owner.client.unflushed().empty());
        cr_assert_eq(owner.store.recordCount(), 0u);
    }
    cr_assert_not(fleet.close(owner, usageOf(recordOf("a1", "r1", owner.holder()), 1)));
}

// Guards against a retry that runs the request again although its first attempt is open, whichever daemons both reach:
// the witness is the first daemon in the order or the first outside its failure domain.
Test(WitnessClient, retryJoinsWhicheverDaemonItReaches, .timeout = 120)
{
    for (const char* ownerHost : { "first", "neighbour", "second", "third" }) {
        for (const char* retryHost : { "first", "neighbour", "second", "third" }) {
            Standard fleet;
            Fleet::Daemon& owner = *fleet.daemons[ownerHost];
            Fleet::Daemon& retry = *fleet.daemons[retryHost];
            Record record = recordOf("a1", "r1", owner.holder());
            cr_assert_not(fleet.open(owner, record).existing);
            OpenResult result = fleet.open(retry, recordOf("a2", "r1", retry.holder()));
            cr_assert(result.existing, "owner %s, retry %s", ownerHost, retryHost);
            cr_assert_eq(result.existing->attemptId, "a1");
            cr_assert_not(result.existing->usage);
            // The retry closes the attempt for both, and its own record is gone.
            cr_assert(fleet.close(retry, usageOf(record, 9)));
            for (auto& [host, daemon] : fleet.daemons)
                cr_assert_not(daemon->store.findAttempt("a2"));
            OpenResult later = fleet.open(fleet.third, recordOf("a3", "r1", fleet.third.holder()));
            cr_assert(later.existing && later.existing->usage, "owner %s, retry %s", ownerHost, retryHost);
            cr_assert_eq(later.existing->usage->tokens, 9);
        }
    }
}

// Guards against two concurrent attempts of one request that both run, or that each wait for the other.
Test(WitnessClient, concurrentAttemptsHaveOneWinner, .timeout = 120)
{
    for (int round = 0; round < 20; ++round) {
        Standard fleet;
        int running = 0;
        int joined = 0;
        for (auto& [host, daemon] : fleet.daemons) {
            Core::spawn(fleet.context.get_executor(), "open", [](Fleet::Daemon& daemon, int& running, int& joined) -> Core::Task<void> {
                Core::Reason reason;
                std::optional<OpenResult> result = co_await daemon.client.open(
                    recordOf("attempt of " + daemon.member.host, "r1", daemon.holder()), soon(), reason, IdentityKind::IdempotencyKey);
                cr_assert(result, "%s", reason.text().c_str());
                ++(result->existing ? joined : running);
            }(*daemon, running, joined));
        }
        fleet.runUntil([&] { return running + joined == 4; });
        cr_assert_eq(running, 1);
    }
}

// Guards against a retry that misses the attempt because the first candidate was lost before it was opened.
Test(WitnessClient, retryFindsAttemptAtSecondCandidate, .timeout = 120)
{
    for (const char* ownerHost : { "neighbour", "second", "third" }) {
        for (const char* retryHost : { "neighbour", "second", "third" }) {
            Standard fleet;
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

// Guards against a second record of the request at the first candidate, which had forgotten the earlier attempt.
Test(WitnessClient, ownRecordIsWithdrawnWhenAnEarlierAttemptIsFound, .timeout = 60)
{
    Standard fleet;
    fleet.second.store.open(recordOf("a1", "r1", fleet.first.holder()), true, fleet.first.holder());
    OpenResult result = fleet.open(fleet.third, recordOf("a2", "r1", fleet.third.holder()));
    cr_assert(result.existing);
    cr_assert_eq(result.existing->attemptId, "a1");
    cr_assert_eq(fleet.second.store.findAttempt("a1")->joiners.size(), 1u);
    fleet.runUntil([&fleet] { return fleet.first.store.recordCount() == 0; });
    cr_assert_eq(fleet.third.client.unflushed().size(), 1u);
}

// Guards against a partitioned witness that blocks the owner until the request's deadline.
Test(WitnessClient, partitionedWitnessIsPassedOver, .timeout = 60)
{
    Standard fleet;
    fleet.partition("second");
    Record record = recordOf("a1", "r1", fleet.first.holder());
    cr_assert_eq(fleet.open(fleet.first, record, IdentityKind::Random).witness, "third");
    cr_assert(fleet.close(fleet.first, usageOf(record, 3)));
    cr_assert_eq(fleet.third.store.findAttempt("a1")->record.usage->tokens, 3);
}

// Guards against a bill whose only copy is the owner's after its witness has died.
Test(WitnessClient, closeAfterWitnessWasKilled, .timeout = 60)
{
    Standard fleet;
    Record record = recordOf("a1", "r1", fleet.first.holder());
    cr_assert_eq(fleet.open(fleet.first, record).witness, "second");
    fleet.second.network.close();
    cr_assert(fleet.close(fleet.first, usageOf(record, 3)));
    cr_assert_eq(fleet.third.store.findAttempt("a1")->record.usage->tokens, 3);
}

// Guards against a restarted witness whose lost records are taken to be kept.
Test(WitnessClient, closeAtRestartedWitness, .timeout = 60)
{
    Standard fleet;
    Record record = recordOf("a1", "r1", fleet.first.holder());
    fleet.open(fleet.first, record);
    fleet.second.store.flushed({ "a1" });
    cr_assert(fleet.close(fleet.first, usageOf(record, 3)));
    cr_assert_eq(fleet.second.store.findAttempt("a1")->record.usage->tokens, 3);
}

// Guards against open and closed records that are left with one copy when their witness is lost, drains or restarts.
Test(WitnessClient, recordsAreResentWhenTheWitnessIsLost, .timeout = 60)
{
    for (Membership::MemberState state : { Membership::MemberState::Suspect, Membership::MemberState::Left, Membership::MemberState::Draining }) {
        Standard fleet;
        Record open = recordOf("a1", "r1", fleet.first.holder());
        Record closed = recordOf("a2", "r2", fleet.first.holder());
        fleet.open(fleet.first, open, IdentityKind::Random);
        fleet.open(fleet.first, closed, IdentityKind::Random);
        cr_assert(fleet.close(fleet.first, usageOf(closed, 8)));
        fleet.run(fleet.first.client.resendLost(soon()));
        cr_assert_eq(fleet.third.store.recordCount(), 0u);
        fleet.setState("second", state);
        fleet.run(fleet.first.client.resendLost(soon()));
        cr_assert_eq(fleet.third.store.recordCount(), 2u);
        cr_assert_not(fleet.third.store.findAttempt("a1")->record.usage);
        cr_assert_eq(fleet.third.store.findAttempt("a2")->record.usage->tokens, 8);
        fleet.first.client.flushed({ "a1", "a2" });
        fleet.runUntil([&fleet] { return fleet.third.store.recordCount() == 0 && fleet.second.store.recordCount() == 0; });
    }
}

// Guards against records that are taken to be kept by a witness which has restarted with empty memory.
Test(WitnessClient, recordsAreResentToARestartedWitness, .timeout = 60)
{
    Standard fleet;
    fleet.open(fleet.first, recordOf("a1", "r1", fleet.first.holder()), IdentityKind::Random);
    fleet.second.store.flushed({ "a1" });
    for (Membership::Member& member : fleet.members)
        member.incarnation += member.host == "second";
    fleet.run(fleet.first.client.resendLost(soon()));
    cr_assert(fleet.second.store.findAttempt("a1"));
    // Once is enough: the new incarnation is known to keep the record.
    fleet.second.store.flushed({ "a1" });
    fleet.run(fleet.first.client.resendLost(soon()));
    cr_assert_not(fleet.second.store.findAttempt("a1"));
}

// Guards against an owner that cancels, because its caller has left, a stream which a retry reads.
Test(WitnessClient, ownerLearnsOfJoiner, .timeout = 60)
{
    Standard fleet;
    Record record = recordOf("a1", "r1", fleet.first.holder());
    fleet.open(fleet.first, record);
    cr_assert_not(fleet.run(fleet.first.client.isJoined("a1", soon())));
    fleet.open(fleet.third, recordOf("a2", "r1", fleet.third.holder()));
    cr_assert(fleet.run(fleet.first.client.isJoined("a1", soon())));
}

// Guards against a full witness that is taken for one that keeps the record.
Test(WitnessClient, fullWitnessIsPassedOver, .timeout = 60)
{
    Standard fleet;
    fleet.second.store = RecordStore(0);
    cr_assert_eq(fleet.open(fleet.first, recordOf("a1", "r1", fleet.first.holder())).witness, "third");
}

// Guards against records of a holder that are overlooked before its grant is released.
Test(WitnessClient, recordsOfHolderAreListed, .timeout = 60)
{
    Standard fleet;
    fleet.open(fleet.first, recordOf("a1", "r1", fleet.first.holder()));
    Core::Reason reason;
    std::optional<std::vector<Record>> records = fleet.run([](Standard& fleet, Core::Reason& reason) -> Core::Task<std::optional<std::vector<Record>>> {
        co_return co_await fetchRecordsOf(fleet.third.network, fleet.second.member.peerAddress, fleet.first.holder(), soon(), reason);
    }(fleet, reason));
    cr_assert(records, "%s", reason.text().c_str());
    cr_assert_eq(records->size(), 1u);
    cr_assert_eq(records->front().attemptId, "a1");
}
