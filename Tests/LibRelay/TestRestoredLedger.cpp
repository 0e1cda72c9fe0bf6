#include "LibPlatform/InMemoryObjectStore.h"
#include "LibRelay/LedgerWriter.h"
#include "RunTask.h"
#include <memory>

// Ledgers in a store that was restored from an older copy.
using namespace Relay;

static const char* const objectName = "relay-ledgers/shard-0";
static constexpr Tokens budget = 10'000;

static LedgerWriterSettings quickSettings()
{
    LedgerWriterSettings settings;
    settings.batchWindowMs = 1;
    settings.retryDelayMs = 1;
    settings.rebuildIntervalMs = 5;
    settings.rebuildLimitMs = 300;
    return settings;
}

namespace {

// Daemons "a" and "b", each with its writer, and a copy of the store from before most of their grants.
struct LedgerFleet {
    boost::asio::io_context context;
    Platform::InMemoryObjectStore store { context.get_executor() };
    std::map<std::string, std::unique_ptr<LedgerWriter>> writers;
    Platform::Listing copy;

    LedgerFleet()
    {
        start("a");
        start("b");
        cr_assert(grant("a", 1, 1, 100) && grant("b", 1, 1, 50));
        copy = store.table().list("");
        cr_assert(grant("a", 1, 2, 200) && grant("b", 1, 2, 300));
    }

    void start(const std::string& host)
    {
        writers[host] = std::make_unique<LedgerWriter>(context.get_executor(), store.hooks(), objectName, quickSettings());
        writers[host]->start(host, [] { return std::set<std::string> { "a", "b" }; });
        run(std::chrono::milliseconds(20));
    }

    // Returns whether the grant was given.
    bool grant(const std::string& host, uint64_t incarnation, uint64_t sequence, Tokens tokens)
    {
        GrantChange change { "w", host, incarnation, sequence, tokens, tokens, 1, budget };
        std::optional<GrantState> state = TestSupport::runTask(context, writers[host]->submit(std::move(change), true, Core::Deadline::after(std::chrono::seconds(5)), reason));
        return state && state->isApplied;
    }

    void run(std::chrono::milliseconds time)
    {
        context.restart();
        context.run_for(time);
    }

    LedgerShard stored() { return decodeShard(store.table().get(objectName, reason).value().value, reason).value(); }

    Core::Reason reason;
};

}

// Guards against granting tokens a second time because the store has lost the grants of the last seconds.
Test(RestoredLedger, lostGrantsAreEnteredAgain)
{
    LedgerFleet fleet;
    fleet.store.table().restore(fleet.copy);
    for (const auto& [host, writer] : fleet.writers)
        writer->rebuild();
    fleet.run(std::chrono::milliseconds(200));
    cr_assert_eq(fleet.stored().era, 1);
    cr_assert_eq(fleet.stored()["w"].remaining(), budget - 650);
    cr_assert(fleet.grant("a", 1, 3, 400));
    cr_assert_eq(fleet.stored()["w"].remaining(), budget - 1'050);
    cr_assert_not(fleet.grant("b", 1, 3, budget - 1'000));
}

// Guards against losing grants if the copy is from before the first one, so that the store has no ledger at all.
Test(RestoredLedger, missingLedgerIsWrittenAgain)
{
    LedgerFleet fleet;
    fleet.store.table().restore({ 1, {} });
    for (const auto& [host, writer] : fleet.writers)
        writer->rebuild();
    fleet.run(std::chrono::milliseconds(300));
    cr_assert_eq(fleet.stored().era, 1);
    cr_assert_eq(fleet.stored()["w"].remaining(), budget - 650);
}

// Guards against granting anything while a daemon may hold grants that are not entered yet, and against refusing a grant as if the budget
// were exhausted.
Test(RestoredLedger, nothingIsGrantedWhileItIsRebuilt)
{
    LedgerFleet fleet;
    fleet.store.table().restore(fleet.copy);
    fleet.writers["a"]->rebuild();
    fleet.run(std::chrono::milliseconds(50));
    cr_assert_not(fleet.grant("a", 1, 3, 1));
    cr_assert_eq(fleet.reason.kind, Core::FailureKind::Unavailable);
    cr_assert_not(fleet.grant("b", 1, 3, 1));
    cr_assert_eq(fleet.reason.kind, Core::FailureKind::Unavailable);
    // The change has told the other daemon of the restoration.
    fleet.run(std::chrono::milliseconds(100));
    cr_assert(fleet.grant("b", 1, 3, 1));
}

// Guards against granting what a daemon may hold that was killed, or is cut off, before it could tell: all that remains counts as granted.
// A daemon that returns later enters its grants.
Test(RestoredLedger, grantsThatNobodyKnowsCloseTheRemainder)
{
    for (bool isRestarted : { false, true }) {
        LedgerFleet fleet;
        fleet.store.table().restore(fleet.copy);
        std::unique_ptr<LedgerWriter> silent = std::move(fleet.writers["b"]);
        if (isRestarted)
            fleet.start("b");
        fleet.writers["a"]->rebuild();
        fleet.run(std::chrono::milliseconds(500));
        cr_assert_eq(fleet.stored().era, 1);
        cr_assert_eq(fleet.stored()["w"].remaining(), 0);
        cr_assert_not(fleet.grant("a", 1, 3, 1));
        silent->rebuild();
        fleet.run(std::chrono::milliseconds(100));
        cr_assert_leq(fleet.stored()["w"].remaining(), 0);
        cr_assert_eq(fleet.stored()["w"].rows["b"].granted, 350);
    }
}

// Guards against closing the remainder for a process that ended before the restoration: the one after it has read its grants.
Test(RestoredLedger, restartBeforeTheRestorationLosesNothing)
{
    LedgerFleet fleet;
    fleet.start("b");
    fleet.store.table().restore(fleet.copy);
    for (const auto& [host, writer] : fleet.writers)
        writer->rebuild();
    fleet.run(std::chrono::milliseconds(200));
    cr_assert_eq(fleet.stored().era, 1);
    cr_assert_eq(fleet.stored()["w"].remaining(), budget - 650);
    cr_assert(fleet.grant("b", 2, 1, 10));
    cr_assert_eq(fleet.stored()["w"].remaining(), budget - 660);
}

// Guards against ending the task that writes the ledger if the store is restored before this daemon has announced itself.
Test(RestoredLedger, restorationBeforeTheStartIsHandledAtTheStart)
{
    LedgerFleet fleet;
    LedgerWriter late(fleet.context.get_executor(), fleet.store.hooks(), objectName, quickSettings());
    fleet.store.table().restore(fleet.copy);
    late.rebuild();
    fleet.run(std::chrono::milliseconds(20));
    cr_assert_eq(fleet.stored().era, 0);
    late.start("c", [] { return std::set<std::string> { "a", "b" }; });
    for (const auto& [host, writer] : fleet.writers)
        writer->rebuild();
    fleet.run(std::chrono::milliseconds(200));
    cr_assert_eq(fleet.stored().era, 1);
    GrantChange change { "w", "c", Platform::makeVersion(1, 1), 1, 10, 10, 1, budget };
    cr_assert(TestSupport::runTask(fleet.context, late.submit(std::move(change), true, Core::Deadline::after(std::chrono::seconds(5)), fleet.reason))->isApplied);
}

// Guards against losing closed grants when copies are merged that have each closed other rows.
Test(RestoredLedger, mergedCopiesCountEveryGrantOnce)
{
    WorkspaceLedger copy;
    copy.apply({ "w", "a", 1, 1, 100, 1, 1, budget });
    copy.apply({ "w", "b", 1, 1, 50, 1, 1, budget });
    WorkspaceLedger first = copy;
    first.apply({ "w", "a", 2, 1, 10, 1, 1, budget });
    WorkspaceLedger second = copy;
    second.apply({ "w", "b", 2, 1, 20, 1, 1, budget });
    WorkspaceLedger merged = first;
    merged.merge(second);
    cr_assert_eq(merged.remaining(), budget - 180);
    WorkspaceLedger reversed = second;
    reversed.merge(first);
    cr_assert(reversed == merged);
    merged.merge(copy);
    merged.merge(first);
    cr_assert(reversed == merged);
}
