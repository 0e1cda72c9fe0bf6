#include "LibPlatform/InMemoryObjectStore.h"
#include "LibRelay/BudgetKeeper.h"
#include "LibRelay/LedgerWriter.h"
#include "RunTask.h"

using namespace Relay;

static constexpr Tokens budget = 1'000;

static Configuration makeConfiguration(uint64_t version, Tokens tokens)
{
    Workspace workspace;
    workspace.name = "w";
    workspace.budget = tokens;
    return Configuration(version, {}, {}, { workspace }, true, {});
}

struct Daemon {
    LedgerWriter writer;
    BudgetKeeper keeper;

    Daemon(boost::asio::io_context& context, const Platform::ObjectStore& store, const std::string& host, uint64_t incarnation)
        : writer(context.get_executor(), store, "relay-ledgers/shard-0", { 1, 1'000, 0, 1 })
        , keeper(
              context.get_executor(),
              [this](GrantChange change, bool isUrgent, Core::Deadline deadline, Core::Reason& reason) { return writer.submit(std::move(change), isUrgent, deadline, reason); },
              { host, 5, 0.3, 30, 300 })
    {
        keeper.setIncarnation(incarnation);
        keeper.adopt(makeConfiguration(1, budget));
    }
};

struct BudgetFixture {
    boost::asio::io_context context;
    Platform::InMemoryObjectStore store { context.get_executor() };
    Daemon first { context, store.hooks(), "a", 1 };
    Daemon second { context, store.hooks(), "b", 2 };

    HoldResult hold(Daemon& daemon, Tokens tokens)
    {
        Core::Reason reason;
        return TestSupport::runTask(context, daemon.keeper.hold("w", tokens, Core::Deadline::after(std::chrono::seconds(5)), reason));
    }
};

// Guards against two daemons spending the same tokens, and against a refusal while the remainder covers the request.
Test(BudgetKeeper, daemonsShareOneBudget)
{
    BudgetFixture fixture;
    cr_assert_eq(fixture.hold(fixture.first, 600), HoldResult::Granted);
    cr_assert_eq(fixture.hold(fixture.second, 600), HoldResult::Exhausted);
    cr_assert_eq(fixture.hold(fixture.second, 300), HoldResult::Granted);
}

// Guards against tokens that a request did not use being lost to the workspace.
Test(BudgetKeeper, settledTokensServeOtherRequests)
{
    BudgetFixture fixture;
    cr_assert_eq(fixture.hold(fixture.first, 900), HoldResult::Granted);
    fixture.first.keeper.settle("w", 900, 100);
    cr_assert_eq(fixture.hold(fixture.first, 800), HoldResult::Granted);
    cr_assert_eq(fixture.hold(fixture.first, 200), HoldResult::Exhausted);
}

// Guards against grants of a stopped daemon staying out for good, as those of a rolling restart did.
Test(BudgetKeeper, returnedGrantsServeOtherDaemons)
{
    BudgetFixture fixture;
    cr_assert_eq(fixture.hold(fixture.first, 900), HoldResult::Granted);
    fixture.first.keeper.settle("w", 900, 50);
    TestSupport::runTask(fixture.context, [](BudgetKeeper& keeper) -> Core::Task<bool> {
        co_await keeper.returnAll(Core::Deadline::after(std::chrono::seconds(2)));
        co_return true;
    }(fixture.first.keeper));
    cr_assert_eq(fixture.hold(fixture.second, 940), HoldResult::Granted);
}

// Guards against "over budget" being said when the store was not reached, which would turn callers away for good.
Test(BudgetKeeper, outageIsNotExhaustion)
{
    BudgetFixture fixture;
    fixture.store.setOutage(true);
    Core::Reason reason;
    HoldResult result = TestSupport::runTask(
        fixture.context, fixture.first.keeper.hold("w", 10, Core::Deadline::after(std::chrono::milliseconds(100)), reason));
    cr_assert_eq(result, HoldResult::Unavailable);
}

// Guards against a request that can never fit waiting for the store.
Test(BudgetKeeper, requestLargerThanTheBudgetIsRefused)
{
    BudgetFixture fixture;
    cr_assert_eq(fixture.hold(fixture.first, budget + 1), HoldResult::Exhausted);
}

// Guards against a raised budget that requests do not see.
Test(BudgetKeeper, topUpServesFurtherRequests)
{
    BudgetFixture fixture;
    cr_assert_eq(fixture.hold(fixture.first, 1'000), HoldResult::Granted);
    fixture.second.keeper.adopt(makeConfiguration(2, 1'500));
    cr_assert_eq(fixture.hold(fixture.second, 500), HoldResult::Granted);
}

// Guards against grants taken before the process can be told apart from its predecessor on the host.
Test(BudgetKeeper, noGrantWithoutIncarnation)
{
    boost::asio::io_context context;
    Platform::InMemoryObjectStore store(context.get_executor());
    BudgetKeeper keeper(context.get_executor(), {}, { "a" });
    keeper.adopt(makeConfiguration(1, budget));
    Core::Reason reason;
    cr_assert_eq(TestSupport::runTask(context, keeper.hold("w", 10, Core::Deadline::after(std::chrono::seconds(1)), reason)), HoldResult::Unavailable);
}
