#include "BudgetFixture.h"

#include "LibLedger/Limits.h"
#include <criterion/criterion.h>
#include <limits>

using namespace Budget;

// Guards against spending without a grant, and against tokens lost between hold, settlement and return.
Test(Accounts, holdSettleBillAndReturn)
{
    BudgetFixture fixture(1);
    BudgetFixture::Daemon& daemon = fixture.addDaemon("a");
    fixture.topUp("t1", 1000);
    Core::Reason reason;
    std::optional<Hold> hold = fixture.acquire(daemon, 300, fixture.seconds(10), reason);
    cr_assert(hold, "%s", reason.text().c_str());
    cr_assert_eq(hold->tokens, 300);
    daemon.accounts->settle(*hold, 120);
    daemon.bills->add(fixture.bill(daemon, "x", 120));
    cr_assert(runTask(fixture.context, daemon.bills->flushAll(fixture.seconds(10), reason)), "%s", reason.text().c_str());
    cr_assert(runTask(fixture.context, daemon.accounts->returnAll(fixture.seconds(10), reason)), "%s", reason.text().c_str());
    Ledger::BudgetAudit audit = fixture.audit();
    cr_assert_eq(audit.spent, 120);
    cr_assert_eq(audit.ungranted, 880);
    cr_assert(audit.outstanding.empty());
    cr_assert_eq(daemon.flushed.size(), 1u);
}

// Guards against refusing a request while another daemon has unspent tokens, which must be recalled.
Test(Accounts, tokensOfAnotherDaemonAreRecalled)
{
    BudgetFixture fixture(2);
    BudgetFixture::Daemon& first = fixture.addDaemon("a");
    BudgetFixture::Daemon& second = fixture.addDaemon("b");
    fixture.topUp("t1", 1000);
    Core::Reason reason;
    std::optional<Hold> hold = fixture.acquire(first, 900, fixture.seconds(10), reason);
    cr_assert(hold);
    first.accounts->release(*hold);
    hold = fixture.acquire(second, 800, fixture.seconds(10), reason);
    cr_assert(hold, "%s", reason.text().c_str());
}

// Guards against reporting a budget as exhausted when the ledger is unreachable, and against a wrong failure reason.
Test(Accounts, exhaustedBudgetIsRefusedAndOutageIsNot)
{
    BudgetFixture fixture(3);
    // Disables caching, so that each request needs its own reply.
    AccountSettings settings = BudgetFixture::accountSettings();
    settings.exhaustedCacheTime = std::chrono::milliseconds(0);
    BudgetFixture::Daemon& daemon = fixture.addDaemon("a", settings);
    fixture.topUp("t1", 100);
    Core::Reason reason;
    cr_assert_not(fixture.acquire(daemon, 101, fixture.seconds(1), reason));
    cr_assert_eq(reason.kind, Core::FailureKind::Refused);
    cr_assert_str_eq(reason.message.c_str(), "budget exhausted");
    // Waits for the grant request in flight, since its reply would also apply to the next caller.
    runTask(fixture.context, daemon.accounts->returnAll(fixture.seconds(20), reason));
    daemon.isPartitioned = true;
    cr_assert_not(fixture.acquire(daemon, 101, Core::Deadline::after(std::chrono::milliseconds(100)), reason));
    cr_assert_neq(reason.kind, Core::FailureKind::Refused);
}

// Guards against a small request that is refused because a larger one was refused shortly before.
Test(Accounts, smallRequestIsServedAfterRefusedLargeOne)
{
    BudgetFixture fixture(4);
    AccountSettings settings = BudgetFixture::accountSettings();
    settings.exhaustedCacheTime = std::chrono::hours(1);
    BudgetFixture::Daemon& daemon = fixture.addDaemon("a", settings);
    fixture.topUp("t1", 100);
    Core::Reason reason;
    cr_assert_not(fixture.acquire(daemon, 101, fixture.seconds(20), reason));
    cr_assert_eq(reason.kind, Core::FailureKind::Refused);
    cr_assert(fixture.acquire(daemon, 100, fixture.seconds(20), reason), "%s", reason.text().c_str());
}

// Guards against a daemon that keeps tokens while its request waits for more than the budget has: a request at another
// daemon that the remaining tokens cover must succeed.
Test(Accounts, waitingDaemonReturnsInsufficientTokens)
{
    BudgetFixture fixture(5);
    BudgetFixture::Daemon& first = fixture.addDaemon("a");
    BudgetFixture::Daemon& second = fixture.addDaemon("b");
    fixture.topUp("t1", 100);
    Core::Reason firstReason;
    bool isFinished = false;
    boost::asio::co_spawn(fixture.context, first.accounts->acquire(fixture.budget, 150, fixture.seconds(20), firstReason), [&isFinished](std::exception_ptr, std::optional<Hold>) { isFinished = true; });
    Core::Reason reason;
    std::optional<Hold> held = fixture.acquire(second, 10, fixture.seconds(20), reason);
    cr_assert(held, "%s", reason.text().c_str());
    cr_assert(fixture.acquire(second, 90, fixture.seconds(20), reason), "%s", reason.text().c_str());
    second.accounts->release(*held);
    runUntil(fixture.context, [&isFinished] { return isFinished; });
    cr_assert_eq(firstReason.kind, Core::FailureKind::Refused);
}

// Guards against a waiting request that does not receive the tokens of a top-up within its deadline.
Test(Accounts, waitingRequestReceivesTopUp)
{
    BudgetFixture fixture(6);
    BudgetFixture::Daemon& daemon = fixture.addDaemon("a");
    fixture.topUp("t1", 100);
    Core::Reason reason;
    std::optional<Hold> first = fixture.acquire(daemon, 100, fixture.seconds(20), reason);
    cr_assert(first);
    bool isHeld = false;
    Core::Reason waitingReason;
    boost::asio::co_spawn(fixture.context, daemon.accounts->acquire(fixture.budget, 50, fixture.seconds(20), waitingReason), [&isHeld](std::exception_ptr, std::optional<Hold> hold) { isHeld = hold.has_value(); });
    fixture.topUp("t2", 60);
    runUntil(fixture.context, [&isHeld] { return isHeld; });
}

// Guards against a request for a huge number of tokens that makes the ledger close the daemon's account, or overflows the sum of what
// requests wait for: later requests within the budget would be refused.
Test(Accounts, hugeRequestsAreRefusedWithoutEffect)
{
    BudgetFixture fixture(7);
    BudgetFixture::Daemon& daemon = fixture.addDaemon("a");
    fixture.topUp("t1", 1000);
    Core::Reason reason;
    for (Ledger::Tokens tokens : { std::numeric_limits<Ledger::Tokens>::max(), Ledger::maximumCumulativeTokens + 1, Ledger::maximumTokens + 1, Ledger::maximumTokens }) {
        cr_assert_not(fixture.acquire(daemon, tokens, fixture.seconds(1), reason));
        cr_assert_eq(reason.kind, Core::FailureKind::Refused, "%s", reason.text().c_str());
    }
    std::optional<Hold> hold = fixture.acquire(daemon, 300, fixture.seconds(10), reason);
    cr_assert(hold, "%s", reason.text().c_str());
    // An endpoint may report any number of tokens.
    daemon.accounts->settle(*hold, std::numeric_limits<Ledger::Tokens>::max());
    cr_assert_leq(daemon.accounts->snapshot().front().available, 0);
    cr_assert_not(fixture.acquire(daemon, 1, fixture.seconds(1), reason));
}
