#include "LibPlatform/InMemoryObjectStore.h"
#include "LibRelay/BudgetManager.h"
#include "LibRelay/CallerRequest.h"
#include "LibRelay/LedgerWriter.h"
#include "RunTask.h"
#include <algorithm>
#include <array>
#include <limits>
#include <random>

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
    // The daemon that allocates for this one, if any, and the number of its next replies to lose.
    Daemon* allocator { nullptr };
    int lostReplies { 0 };
    int transferRequests { 0 };
    BudgetManager manager;

    Daemon(boost::asio::io_context& context, const Platform::ObjectStore& store, const std::string& host, uint64_t incarnation)
        : writer(context.get_executor(), store, "relay-ledgers/shard-0", { 1, 1'000, 0, 1 })
        , manager(context.get_executor(), makeHooks(), { host, 5, 0.3, 30, 2, 300, 300, 1 })
    {
        manager.setIncarnation(incarnation);
        manager.adopt(makeConfiguration(1, budget));
    }

    BudgetHooks makeHooks()
    {
        BudgetHooks hooks;
        hooks.submit = [this](GrantChange change, bool isUrgent, Core::Deadline deadline, Core::Reason& reason) { return writer.submit(std::move(change), isUrgent, deadline, reason); };
        hooks.allocatorOf = [this](const std::string&) { return allocator ? std::optional<Core::Address>({ "10.0.0.1", 1 }) : std::nullopt; };
        hooks.transfer = [this](Core::Address, TransferRequest request, Core::Deadline deadline, Core::Reason& reason) { return ask(std::move(request), deadline, reason); };
        return hooks;
    }

    Core::Task<std::optional<TransferReply>> ask(TransferRequest request, Core::Deadline deadline, Core::Reason& reason)
    {
        ++transferRequests;
        std::optional<TransferReply> reply = co_await allocator->manager.transfer(std::move(request), deadline, reason);
        if (reply && lostReplies > 0) {
            --lostReplies;
            reason = { Core::FailureKind::TimedOut, "ask", "allocator", "lost" };
            co_return std::nullopt;
        }
        co_return reply;
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
        return TestSupport::runTask(context, daemon.manager.hold("w", tokens, Core::Deadline::after(std::chrono::seconds(5)), reason));
    }
};

// Guards against two daemons spending the same tokens, and against refusing a request that the remainder covers.
Test(BudgetManager, daemonsShareOneBudget)
{
    BudgetFixture fixture;
    cr_assert_eq(fixture.hold(fixture.first, 600), HoldResult::Granted);
    cr_assert_eq(fixture.hold(fixture.second, 600), HoldResult::Exhausted);
    cr_assert_eq(fixture.hold(fixture.second, 300), HoldResult::Granted);
}

// Guards against losing the tokens that a request held but did not use.
Test(BudgetManager, settledTokensServeOtherRequests)
{
    BudgetFixture fixture;
    cr_assert_eq(fixture.hold(fixture.first, 900), HoldResult::Granted);
    fixture.first.manager.settle("w", 900, 100);
    cr_assert_eq(fixture.hold(fixture.first, 800), HoldResult::Granted);
    cr_assert_eq(fixture.hold(fixture.first, 200), HoldResult::Exhausted);
}

// Guards against the grants of a stopped daemon never returning to the budget, which a rolling restart caused.
Test(BudgetManager, returnedGrantsServeOtherDaemons)
{
    BudgetFixture fixture;
    cr_assert_eq(fixture.hold(fixture.first, 900), HoldResult::Granted);
    fixture.first.manager.settle("w", 900, 50);
    TestSupport::runTask(fixture.context, [](BudgetManager& manager) -> Core::Task<bool> {
        co_await manager.returnAll(Core::Deadline::after(std::chrono::seconds(2)));
        co_return true;
    }(fixture.first.manager));
    cr_assert_eq(fixture.hold(fixture.second, 940), HoldResult::Granted);
}

// Guards against an idle daemon keeping its grant while much of the budget remains. The idle daemons of a large fleet together
// held much of each budget, so that other daemons refused requests.
Test(BudgetManager, idleDaemonReturnsItsGrant)
{
    BudgetFixture fixture;
    cr_assert_eq(fixture.hold(fixture.first, 200), HoldResult::Granted);
    fixture.first.manager.settle("w", 200, 10);
    Core::spawn(fixture.context.get_executor(), "maintain", fixture.first.manager.maintain());
    TestSupport::runUntil(fixture.context, [&fixture] {
        Core::Reason reason;
        std::optional<LedgerShard> shard = decodeShard(fixture.store.table().get("relay-ledgers/shard-0", reason)->value, reason);
        return shard->at("w").remaining() > 950;
    });
    fixture.first.manager.stop();
}

// Guards against reporting a store outage as an exhausted budget, after which callers would not retry.
Test(BudgetManager, outageIsNotReportedAsExhausted)
{
    BudgetFixture fixture;
    fixture.store.setOutage(true);
    Core::Reason reason;
    HoldResult result = TestSupport::runTask(
        fixture.context, fixture.first.manager.hold("w", 10, Core::Deadline::after(std::chrono::milliseconds(100)), reason));
    cr_assert_eq(result, HoldResult::Unavailable);
}

// Guards against waiting for the store with a request that is larger than the whole budget.
Test(BudgetManager, requestLargerThanTheBudgetIsRefused)
{
    BudgetFixture fixture;
    cr_assert_eq(fixture.hold(fixture.first, budget + 1), HoldResult::Exhausted);
}

// Guards against a raised budget not being available to requests.
Test(BudgetManager, topUpServesFurtherRequests)
{
    BudgetFixture fixture;
    cr_assert_eq(fixture.hold(fixture.first, 1'000), HoldResult::Granted);
    fixture.second.manager.adopt(makeConfiguration(2, 1'500));
    cr_assert_eq(fixture.hold(fixture.second, 500), HoldResult::Granted);
}

// Guards against taking a grant before the incarnation distinguishes the process from its predecessor on the host.
Test(BudgetManager, noGrantWithoutIncarnation)
{
    boost::asio::io_context context;
    Platform::InMemoryObjectStore store(context.get_executor());
    BudgetManager manager(context.get_executor(), {}, { "a" });
    manager.adopt(makeConfiguration(1, budget));
    Core::Reason reason;
    cr_assert_eq(TestSupport::runTask(context, manager.hold("w", 10, Core::Deadline::after(std::chrono::seconds(1)), reason)), HoldResult::Unavailable);
}

// Guards against writing to the store for each request of each daemon.
Test(BudgetManager, allocatorTransfersTokens)
{
    BudgetFixture fixture;
    fixture.second.allocator = &fixture.first;
    cr_assert_eq(fixture.hold(fixture.second, 300), HoldResult::Granted);
    cr_assert_eq(fixture.second.writer.writes(), 0);
    cr_assert_eq(fixture.hold(fixture.first, 600), HoldResult::Granted);
    cr_assert_eq(fixture.hold(fixture.second, 200), HoldResult::Exhausted);
    fixture.first.manager.settle("w", 600, 100);
    cr_assert_eq(fixture.hold(fixture.second, 400), HoldResult::Granted);
}

// Guards against transferring tokens twice when the reply is lost: a repeated request gets the same reply.
Test(BudgetManager, transferIsRetriedAfterALostReply)
{
    BudgetFixture fixture;
    fixture.second.allocator = &fixture.first;
    fixture.second.lostReplies = 1;
    cr_assert_eq(fixture.hold(fixture.second, 600), HoldResult::Granted);
    fixture.second.manager.settle("w", 600, 0);
    cr_assert_eq(fixture.hold(fixture.second, 600), HoldResult::Granted);
    cr_assert_eq(fixture.hold(fixture.first, 300), HoldResult::Granted);
}

// Guards against a daemon being unable to get tokens after its allocator has stopped.
Test(BudgetManager, stoppedAllocatorIsBypassed)
{
    BudgetFixture fixture;
    fixture.second.allocator = &fixture.first;
    fixture.first.manager.stopAllocating();
    cr_assert_eq(fixture.hold(fixture.second, 300), HoldResult::Granted);
}

// Guards against exceeding the budget under random holds, settlements, returns, lost replies and store faults, both with
// daemons that take tokens from the ledger and with daemons that take them from an allocator.
Test(BudgetManager, randomUseNeverExceedsTheBudget)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        std::mt19937_64 random(seed);
        BudgetFixture fixture;
        Daemon third(fixture.context, fixture.store.hooks(), "c", 3);
        fixture.second.allocator = &fixture.first;
        third.allocator = &fixture.first;
        std::array<Daemon*, 3> daemons { &fixture.first, &fixture.second, &third };
        Tokens spent = 0;
        std::vector<std::pair<Daemon*, Tokens>> holds;
        Tokens held = 0;
        for (int step = 0; step < 40; ++step) {
            Daemon& daemon = *daemons[random() % 3];
            if (random() % 4 == 0)
                daemon.lostReplies = 1;
            if (random() % 6 == 0)
                fixture.store.loseReplies(1);
            if (random() % 8 == 0)
                daemon.allocator = daemon.allocator || &daemon == &fixture.first ? nullptr : &fixture.first;
            Tokens tokens = static_cast<Tokens>(random() % 150) + 1;
            Core::Reason reason;
            HoldResult result = TestSupport::runTask(
                fixture.context, daemon.manager.hold("w", tokens, Core::Deadline::after(std::chrono::milliseconds(60)), reason));
            if (result == HoldResult::Granted) {
                holds.emplace_back(&daemon, tokens);
                held += tokens;
            }
            cr_assert_leq(spent + held, budget, "seed %lu", seed);
            if (!holds.empty() && random() % 2) {
                size_t pick = random() % holds.size();
                Tokens used = static_cast<Tokens>(random() % static_cast<uint64_t>(holds[pick].second + 1));
                holds[pick].first->manager.settle("w", holds[pick].second, used);
                spent += used;
                held -= holds[pick].second;
                holds.erase(holds.begin() + static_cast<ptrdiff_t>(pick));
            }
        }
    }
}

// Guards against a request for a workspace without a configuration creating an account that later crashes the process.
Test(BudgetManager, unknownWorkspaceCreatesNoAccount)
{
    BudgetFixture fixture;
    Core::Reason reason;
    TransferRequest request { "unknown", "b", 2, 1, 10, 1 };
    cr_assert_not(TestSupport::runTask(fixture.context, fixture.first.manager.transfer(request, Core::Deadline::after(std::chrono::seconds(1)), reason)));
    cr_assert_eq(TestSupport::runTask(fixture.context, fixture.first.manager.hold("other", 10, Core::Deadline::after(std::chrono::seconds(1)), reason)), HoldResult::Granted);
    TestSupport::runTask(fixture.context, [](BudgetManager& manager) -> Core::Task<bool> {
        co_await manager.returnAll(Core::Deadline::after(std::chrono::milliseconds(200)));
        co_return true;
    }(fixture.first.manager));
}

// Ungranted tokens of the workspace in the store.
static Tokens ungranted(BudgetFixture& fixture)
{
    Core::Reason reason;
    return decodeShard(fixture.store.table().get("relay-ledgers/shard-0", reason)->value, reason)->at("w").remaining();
}

// Load pattern: the budgets of busy workspaces are nearly used up when all hosts lose power, as on the last seconds of a heavy day.
// Guards against the reserves of the lost processes taking most of what is left: more than a fortieth of a budget that cannot be
// used is refused to callers who have paid for it.
Test(BudgetManager, lossOfAllPowerNearTheEndOfABudgetStrandsLittle)
{
    static constexpr Tokens largeBudget = 1'000'000;
    static constexpr Tokens request = 1'000;
    BudgetFixture fixture;
    Daemon third(fixture.context, fixture.store.hooks(), "c", 3);
    std::array<Daemon*, 3> daemons { &fixture.first, &fixture.second, &third };
    for (Daemon* daemon : daemons) {
        daemon->manager.adopt(makeConfiguration(2, largeBudget));
        if (daemon != &fixture.first)
            daemon->allocator = &fixture.first;
        Core::spawn(fixture.context.get_executor(), "maintain", daemon->manager.maintain());
    }
    Tokens spent = 0;
    for (size_t i = 0; spent < largeBudget * 85 / 100; ++i) {
        Daemon& daemon = *daemons[i % daemons.size()];
        cr_assert_eq(fixture.hold(daemon, request), HoldResult::Granted);
        daemon.manager.settle("w", request, request);
        spent += request;
    }
    // Time in which the daemons return what they no longer need, at the load of these requests.
    Core::Deadline end = Core::Deadline::after(std::chrono::milliseconds(2'500));
    for (size_t i = 0; !end.hasPassed() && spent < largeBudget * 88 / 100; ++i) {
        Daemon& daemon = *daemons[i % daemons.size()];
        cr_assert_eq(fixture.hold(daemon, request), HoldResult::Granted);
        daemon.manager.settle("w", request, request);
        spent += request;
        TestSupport::runTask(fixture.context, []() -> Core::Task<bool> {
            co_await Core::sleepUntil(Core::Deadline::after(std::chrono::milliseconds(80)));
            co_return true;
        }());
    }
    // No process of before the loss returns anything, so what is granted but not spent is stranded.
    Tokens stranded = largeBudget - ungranted(fixture) - spent;
    cr_assert_geq(stranded, 0);
    cr_assert_lt(stranded, largeBudget / 40, "stranded %ld", stranded);
    for (Daemon* daemon : daemons)
        daemon->manager.stop();
}

// Guards against a stopping daemon that keeps its reserve until the end of its time to stop: if the store is cut off by then, the
// tokens are lost.
Test(BudgetManager, stoppingDaemonReturnsItsReserveEarly)
{
    BudgetFixture fixture;
    cr_assert_eq(fixture.hold(fixture.first, 100), HoldResult::Granted);
    cr_assert_eq(fixture.hold(fixture.first, 50), HoldResult::Granted);
    fixture.first.manager.settle("w", 50, 50);
    Core::spawn(fixture.context.get_executor(), "maintain", fixture.first.manager.maintain());
    fixture.first.manager.stopReserving();
    TestSupport::runUntil(fixture.context, [&fixture] { return ungranted(fixture) == budget - 150; });
    // A request that ends later returns what it did not use.
    fixture.first.manager.settle("w", 100, 30);
    TestSupport::runUntil(fixture.context, [&fixture] { return ungranted(fixture) == budget - 80; });
    fixture.first.manager.stop();
}

// Load pattern: the budget of a busy workspace is used up while its callers go on.
// Guards against waiting requests asking the allocator again without a pause: 71 daemons sent it 20,000 calls in 1.5 s.
Test(BudgetManager, usedUpBudgetIsAskedForSparingly)
{
    BudgetFixture fixture;
    fixture.second.allocator = &fixture.first;
    cr_assert_eq(fixture.hold(fixture.first, 950), HoldResult::Granted);
    cr_assert_eq(fixture.hold(fixture.second, 500), HoldResult::Exhausted);
    cr_assert_leq(fixture.second.transferRequests, 5, "%d requests", fixture.second.transferRequests);
}

// Load pattern: all hosts are reachable again after a cut, and the allocator answers late because all of them ask it.
// Guards against each daemon then writing its own row to the store, where all but one of the writers conflict.
Test(BudgetManager, silentAllocatorIsAskedAgainBeforeTheStore)
{
    BudgetFixture fixture;
    fixture.second.allocator = &fixture.first;
    fixture.second.lostReplies = 2;
    cr_assert_eq(fixture.hold(fixture.second, 300), HoldResult::Granted);
    cr_assert_eq(fixture.second.writer.writes(), 0);
}

static constexpr Tokens maxTokens = std::numeric_limits<Tokens>::max();

// Guards against an amount near the end of the integer's range turning into a negative one, which lifted the limit of a workspace or
// made all later requests exceed it, and against demand that nothing covers keeping tokens from others (review/2).
Test(BudgetManager, hugeAmountsAreRefusedWithoutEffect)
{
    static constexpr Relay::TokenDemand demand { 400, maxTokens };
    cr_assert_eq(demand.total(), maxTokens);
    for (bool isFirst : { true, false }) {
        BudgetFixture fixture;
        if (!isFirst)
            cr_assert_eq(fixture.hold(fixture.first, 100), HoldResult::Granted);
        for (Tokens tokens : { maxTokens, maxTokens - 1, maxTokens / 2 + 1, demand.total(), budget + 1, std::numeric_limits<Tokens>::min(), Tokens { -1 } })
            cr_assert_eq(fixture.hold(fixture.first, tokens), HoldResult::Exhausted, "%ld tokens", static_cast<long>(tokens));
        cr_assert_eq(fixture.hold(fixture.second, isFirst ? budget : budget - 100), HoldResult::Granted);
        cr_assert_eq(fixture.hold(fixture.first, 1), HoldResult::Exhausted);
    }
}

// Guards against an overflow of the sums of what is held, waited for and granted where the budget itself is as large as can be.
Test(BudgetManager, sumsOfHugeAmountsDoNotLiftAHugeBudget)
{
    BudgetFixture fixture;
    for (Daemon* daemon : { &fixture.first, &fixture.second })
        daemon->manager.adopt(makeConfiguration(2, maxTokens));
    cr_assert_eq(fixture.hold(fixture.first, maxTokens - 10), HoldResult::Granted);
    cr_assert_eq(fixture.hold(fixture.first, maxTokens), HoldResult::Exhausted);
    cr_assert_eq(fixture.hold(fixture.second, maxTokens - 10), HoldResult::Exhausted);
    std::array<std::optional<HoldResult>, 3> results;
    std::array<Core::Reason, 3> reasons;
    for (size_t i = 0; i < results.size(); ++i)
        TestSupport::startTask(fixture.context, fixture.second.manager.hold("w", maxTokens / 2 + 2, Core::Deadline::after(std::chrono::seconds(5)), reasons.at(i)), results.at(i));
    TestSupport::runUntil(fixture.context, [&results] { return std::all_of(results.begin(), results.end(), [](const auto& result) { return result.has_value(); }); });
    for (const std::optional<HoldResult>& result : results)
        cr_assert_eq(*result, HoldResult::Exhausted);
    fixture.first.manager.settle("w", maxTokens - 10, maxTokens - 10);
    cr_assert_eq(fixture.hold(fixture.second, 11), HoldResult::Exhausted);
    cr_assert_eq(fixture.hold(fixture.second, 10), HoldResult::Granted);
    cr_assert_eq(fixture.hold(fixture.first, 1), HoldResult::Exhausted);
}

// Guards against another daemon gaining or giving tokens that are not there: by a request for more than all, by returning more than it
// can have, or by a reply that exceeds the request.
Test(BudgetManager, hugeAmountsOfOtherDaemonsAreRefused)
{
    BudgetFixture fixture;
    cr_assert_eq(fixture.hold(fixture.first, 100), HoldResult::Granted);
    Core::Reason reason;
    uint64_t sequence = 0;
    auto ask = [&](Tokens wanted, Tokens least) {
        return TestSupport::runTask(fixture.context, fixture.first.manager.transfer({ "w", "b", 2, ++sequence, wanted, least }, Core::Deadline::after(std::chrono::seconds(5)), reason));
    };
    for (Tokens wanted : { std::numeric_limits<Tokens>::min(), -maxTokens, -(budget + 1) }) {
        cr_assert_not(ask(wanted, 0));
        cr_assert_eq(reason.kind, Core::FailureKind::Invalid);
    }
    cr_assert_eq(ask(maxTokens, maxTokens)->tokens, 0);
    cr_assert_leq(ask(maxTokens, std::numeric_limits<Tokens>::min())->tokens, 900);
    cr_assert_eq(fixture.hold(fixture.first, 901), HoldResult::Exhausted);

    BudgetHooks hooks = fixture.second.makeHooks();
    hooks.allocatorOf = [](const std::string&) { return Core::Address { "10.0.0.1", 1 }; };
    for (Tokens tokens : { maxTokens, Tokens { -5 }, std::numeric_limits<Tokens>::min() }) {
        hooks.transfer = [tokens](Core::Address, TransferRequest, Core::Deadline, Core::Reason&) -> Core::Task<std::optional<TransferReply>> {
            co_return TransferReply { tokens, maxTokens, maxTokens };
        };
        BudgetManager manager(fixture.context.get_executor(), hooks, { "c", 5, 0.3, 30, 2, 300, 300, 1 });
        manager.setIncarnation(3);
        manager.adopt(makeConfiguration(1, budget));
        HoldResult result = TestSupport::runTask(fixture.context, manager.hold("w", 950, Core::Deadline::after(std::chrono::seconds(1)), reason));
        cr_assert_neq(result, HoldResult::Granted, "a reply of %ld tokens", static_cast<long>(tokens));
    }
}

// Guards against a ledger whose amounts do not fit being read as one with other amounts, and against sums that overflow.
Test(WorkspaceLedger, hugeAmountsInALedgerLeaveNothing)
{
    Core::Reason reason;
    cr_assert_not(decodeShard(R"({"w":{"configuration":1,"budget":18446744073709551615,"closed":0,"rows":{}}})", reason));
    cr_assert_not(decodeShard(R"({"w":{"configuration":1,"budget":1e300,"closed":0,"rows":{}}})", reason));
    cr_assert_not(decodeShard(R"({"w":{"configuration":1,"budget":5,"closed":0,"rows":{"a":[1,1,9223372036854775808]}}})", reason));
    WorkspaceLedger ledger;
    ledger.budget = maxTokens;
    ledger.closed = maxTokens;
    ledger.rows["a"] = { 1, 1, maxTokens };
    ledger.rows["b"] = { 1, 1, maxTokens };
    cr_assert_leq(ledger.remaining(), 0);
    cr_assert_not(ledger.apply({ "w", "c", 1, 1, 1, 1, 1, maxTokens }).isApplied);
}
