#include "LedgerFixture.h"
#include "LibLedger/LedgerService.h"

#include <criterion/criterion.h>

using namespace Ledger;

namespace {

struct ServiceFixture : LedgerFixture {
    LedgerService service;

    ServiceFixture()
        : LedgerFixture(1)
        , service(context.get_executor(), store.client("a"), 16, { "a", 1 }, settings())
    {
    }

    std::optional<std::vector<EntryResult>> commit(uint32_t shard, std::vector<Entry> entries, Core::Reason& reason)
    {
        return runTask(context, service.submit()(shard, std::move(entries), Core::Deadline::after(std::chrono::seconds(20)), reason));
    }
};

}

// Guards against entries in the wrong shard, where other daemons do not read them.
Test(LedgerService, entryOfAnotherShardIsRefused)
{
    ServiceFixture fixture;
    Core::Reason reason;
    uint32_t shard = shardOf(fixture.budget, 16);
    cr_assert_lt(shard, 16u);
    cr_assert(fixture.commit(shard, { TopUp { fixture.budget, "t", 1 } }, reason));
    cr_assert_not(fixture.commit((shard + 1) % 16, { TopUp { fixture.budget, "t", 1 } }, reason));
    cr_assert_eq(reason.kind, Core::FailureKind::Invalid);
    cr_assert_not(fixture.commit(16, { TopUp { fixture.budget, "t", 1 } }, reason));
    cr_assert_eq(fixture.service.openShardCount(), 1u);
}

// Guards against idle shards that stay in memory, and against state that is lost when a shard is closed.
Test(LedgerService, idleShardIsClosedAndLoadedAgain)
{
    ServiceFixture fixture;
    Core::Reason reason;
    uint32_t shard = shardOf(fixture.budget, 16);
    cr_assert(fixture.commit(shard, { TopUp { fixture.budget, "t", 5 } }, reason));
    while (fixture.context.poll() > 0) { }
    fixture.service.closeIdleShards(Core::SteadyClock::now() + std::chrono::hours(1));
    cr_assert_eq(fixture.service.openShardCount(), 0u);
    std::optional<std::vector<EntryResult>> results = fixture.commit(shard, { TopUp { fixture.budget, "t", 5 } }, reason);
    cr_assert(results);
    cr_assert_eq(results->at(0).code, ResultCode::Duplicate);
}

// Guards against a missing recall after a reduced grant, and against a recall from the requesting daemon itself.
Test(LedgerService, shortGrantRequestsRecallOfOtherHolders)
{
    LedgerFixture fixture(2);
    std::vector<Holder> recalled;
    WriterSettings settings = fixture.settings();
    settings.onRecallNeeded = [&recalled](const BudgetId&, const std::vector<Holder>& holders) { recalled = holders; };
    LedgerService service(fixture.context.get_executor(), fixture.store.client("a"), 16, { "a", 1 }, settings);
    Core::Reason reason;
    Core::Deadline deadline = Core::Deadline::after(std::chrono::seconds(20));
    uint32_t shard = shardOf(fixture.budget, 16);
    cr_assert(runTask(fixture.context, service.commit(shard, { TopUp { fixture.budget, "t", 10 }, Grant { fixture.budget, { "x", 1 }, 8 } }, deadline, reason)));
    cr_assert(recalled.empty());
    cr_assert(runTask(fixture.context, service.commit(shard, { Grant { fixture.budget, { "y", 1 }, 3 } }, deadline, reason)));
    cr_assert_eq(recalled.size(), 1u);
    cr_assert(recalled.front() == (Holder { "x", 1 }));
}
