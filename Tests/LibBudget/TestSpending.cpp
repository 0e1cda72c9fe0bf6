#include "BudgetFixture.h"
#include "LibLedger/Commit.h"
#include "LibLedger/ShardState.h"

#include <criterion/criterion.h>
#include <random>

using namespace Budget;
using Ledger::Tokens;

namespace {

// Several daemons that spend one budget at random, while the test applies each commit as it is written to the store.
struct Spending {
    BudgetFixture fixture;
    std::mt19937_64 random;
    Ledger::ShardState ledger;
    Tokens used { 0 };
    uint64_t served { 0 };
    uint64_t refused { 0 };
    uint64_t failed { 0 };
    uint64_t violations { 0 };
    int running { 0 };

    explicit Spending(uint64_t seed)
        : fixture(seed)
        , random(seed)
    {
        uint32_t shard = Ledger::shardOf(fixture.budget, BudgetFixture::shardCount);
        fixture.store.onWrite = [this, shard](const Platform::Object& object) {
            if (object.name.starts_with("ledger/" + std::to_string(shard) + "/slot-"))
                applyCommit(*Ledger::decodeCommit(object.value));
        };
    }

    void applyCommit(const Ledger::Commit& commit)
    {
        ledger.beginCommit(commit.committedAtMs, commit.expireBeforeMs);
        for (const Ledger::Entry& entry : commit.entries) {
            ledger.apply(entry);
            if (!ledger.invariantHolds())
                ++violations;
        }
        checkGrants();
    }

    // Checks that the tokens each daemon can still spend are covered by its outstanding grant in the ledger.
    void checkGrants()
    {
        std::map<Ledger::BudgetId, Ledger::BudgetState>::const_iterator budget = ledger.budgets().find(fixture.budget);
        for (const std::unique_ptr<BudgetFixture::Daemon>& daemon : fixture.daemons) {
            for (const AccountStatus& account : daemon->accounts->snapshot()) {
                Tokens outstanding = 0;
                if (budget != ledger.budgets().end() && budget->second.holders.contains(daemon->holder))
                    outstanding = budget->second.holders.at(daemon->holder).outstanding();
                if (account.available + account.held > outstanding || account.available < 0)
                    ++violations;
            }
        }
    }

    Core::Task<bool> spend(BudgetFixture::Daemon& daemon, int requests, int client)
    {
        for (int i = 0; i < requests; ++i) {
            Core::Reason reason;
            Tokens bound = static_cast<Tokens>(1 + random() % 40);
            std::optional<Hold> hold = co_await daemon.accounts->acquire(fixture.budget, bound, Core::Deadline::after(std::chrono::milliseconds(300)), reason);
            if (!hold) {
                reason.kind == Core::FailureKind::Refused ? ++refused : ++failed;
                continue;
            }
            co_await Core::sleepUntil(Core::Deadline::after(std::chrono::milliseconds(random() % 3)));
            if (random() % 8 == 0) {
                daemon.accounts->release(*hold);
                continue;
            }
            Tokens tokens = static_cast<Tokens>(random() % static_cast<uint64_t>(bound + 1));
            daemon.accounts->settle(*hold, tokens);
            daemon.bills->add(fixture.bill(daemon, daemon.holder.host + "-" + std::to_string(client) + "-" + std::to_string(i), tokens));
            used += tokens;
            ++served;
        }
        co_return true;
    }

    Core::Task<bool> injectFaults(int rounds)
    {
        for (int round = 0; round < rounds; ++round) {
            co_await Core::sleepUntil(Core::Deadline::after(std::chrono::milliseconds(5)));
            fixture.daemons[random() % fixture.daemons.size()]->isPartitioned = random() % 3 == 0;
            fixture.store.setOutage(random() % 8 == 0);
            fixture.daemons[random() % fixture.daemons.size()]->accounts->recall(fixture.budget);
            checkGrants();
        }
        fixture.store.setOutage(false);
        for (const std::unique_ptr<BudgetFixture::Daemon>& daemon : fixture.daemons)
            daemon->isPartitioned = false;
        co_return true;
    }

    template <typename Work>
    void start(Core::Task<Work> task)
    {
        ++running;
        boost::asio::co_spawn(fixture.context, std::move(task), [this](std::exception_ptr error, bool) {
            cr_assert_not(error);
            --running;
        });
    }

    void runAll(int clients, int requests, bool withFaults)
    {
        for (const std::unique_ptr<BudgetFixture::Daemon>& daemon : fixture.daemons) {
            for (int client = 0; client < clients; ++client)
                start(spend(*daemon, requests, client));
            Core::spawn(fixture.context.get_executor(), "accounts", daemon->accounts->run());
            Core::spawn(fixture.context.get_executor(), "bills", daemon->bills->run());
        }
        if (withFaults)
            start(injectFaults(40));
        runUntil(fixture.context, [this] { return running == 0; });
    }

    void drain()
    {
        fixture.store.setFaults({});
        Core::Reason reason;
        for (const std::unique_ptr<BudgetFixture::Daemon>& daemon : fixture.daemons) {
            cr_assert(runTask(fixture.context, daemon->bills->flushAll(fixture.seconds(30), reason)), "%s", reason.text().c_str());
            cr_assert(runTask(fixture.context, daemon->accounts->returnAll(fixture.seconds(30), reason)), "%s", reason.text().c_str());
            daemon->accounts->stop();
            daemon->bills->stop();
            cr_assert(daemon->refusedBills.empty());
        }
    }
};

void check(Spending& spending, Tokens toppedUp, uint64_t seed)
{
    Ledger::BudgetAudit audit = spending.fixture.audit();
    cr_assert_eq(spending.violations, 0u, "seed %zu", seed);
    cr_assert_eq(audit.spent, spending.used, "seed %zu", seed);
    cr_assert_eq(audit.bills, spending.served, "seed %zu", seed);
    cr_assert_leq(audit.spent, toppedUp, "overspend, seed %zu", seed);
    cr_assert_eq(audit.ungranted, toppedUp - audit.spent, "seed %zu", seed);
    cr_assert(audit.outstanding.empty(), "seed %zu", seed);
}

}

// Guards against overspend, double charges and lost tokens when daemons are partitioned, the platform fails and loses
// replies, and grants are recalled.
Test(Spending, faultsNeverOverspendOrLoseTokens)
{
    for (uint64_t seed = 1; seed <= 8; ++seed) {
        Spending spending(seed);
        for (const char* host : { "a", "b", "c", "d" })
            spending.fixture.addDaemon(host);
        spending.fixture.topUp("t", 4000);
        spending.fixture.store.setFaults({ 2, 2, 6, 3 });
        spending.runAll(4, 25, true);
        spending.drain();
        check(spending, 4000, seed);
        cr_assert_gt(spending.served, 0u);
    }
}

// Guards against refused requests before a budget is exhausted, when all daemons spend it concurrently.
Test(Spending, budgetIsSpentCompletely)
{
    for (uint64_t seed = 20; seed < 26; ++seed) {
        Spending spending(seed);
        for (const char* host : { "a", "b", "c", "d", "e", "f" })
            spending.fixture.addDaemon(host);
        spending.fixture.topUp("t", 3000);
        spending.runAll(3, 30, false);
        spending.drain();
        check(spending, 3000, seed);
        cr_assert_gt(spending.refused, 0u, "seed %zu", seed);
        // No request needs more than 40 tokens, so a larger remainder would have covered a refused one.
        cr_assert_lt(3000 - spending.used, 40, "seed %zu", seed);
    }
}

// Guards against concurrent callers that each send their own grant request.
Test(Spending, concurrentCallersShareOneGrantRequest)
{
    Spending spending(30);
    BudgetFixture::Daemon& daemon = spending.fixture.addDaemon("a");
    spending.fixture.topUp("t", 100'000);
    uint64_t before = spending.fixture.store.writes();
    uint64_t acquired = 0;
    std::vector<Core::Reason> reasons(100);
    for (int i = 0; i < 100; ++i) {
        boost::asio::co_spawn(spending.fixture.context, daemon.accounts->acquire(spending.fixture.budget, 10, spending.fixture.seconds(20), reasons[static_cast<size_t>(i)]), [&acquired](std::exception_ptr, std::optional<Hold> hold) { acquired += hold.has_value(); });
    }
    runUntil(spending.fixture.context, [&acquired] { return acquired == 100; });
    cr_assert_leq(spending.fixture.store.writes(), before + 2);
    cr_assert_leq(daemon.submissions, 2u);
}
