#include "BudgetFixture.h"

#include <criterion/criterion.h>

using namespace Budget;

// Guards against spending without a grant, and against tokens that disappear between hold, settlement and return.
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

// Guards against a refusal while other daemons hold unspent tokens: they must be recalled.
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

// Guards against a refusal that does not come from the ledger, and against a wrong reason.
Test(Accounts, exhaustedBudgetIsRefusedAndOutageIsNot)
{
    BudgetFixture fixture(3);
    BudgetFixture::Daemon& daemon = fixture.addDaemon("a");
    fixture.topUp("t1", 100);
    Core::Reason reason;
    cr_assert_not(fixture.acquire(daemon, 101, fixture.seconds(1), reason));
    cr_assert_eq(reason.kind, Core::FailureKind::Refused);
    cr_assert_str_eq(reason.message.c_str(), "budget exhausted");
    daemon.isCutOff = true;
    cr_assert_not(fixture.acquire(daemon, 101, Core::Deadline::after(std::chrono::milliseconds(100)), reason));
    cr_assert_neq(reason.kind, Core::FailureKind::Refused);
}
