#include "BudgetFixture.h"

#include <criterion/criterion.h>

using namespace Budget;

// Guards against bills lost in an outage, and against a flush notification before the bills are durable.
Test(BillQueue, billsSurviveAnOutage)
{
    BudgetFixture fixture(1);
    BudgetFixture::Daemon& daemon = fixture.addDaemon("a");
    fixture.topUp("t", 1000);
    Core::Reason reason;
    std::optional<Hold> hold = fixture.acquire(daemon, 100, fixture.seconds(10), reason);
    fixture.store.setOutage(true);
    for (int i = 0; i < 10; ++i)
        daemon.bills->add(fixture.bill(daemon, std::to_string(i), 10));
    daemon.accounts->settle(*hold, 100);
    cr_assert_not(runTask(fixture.context, daemon.bills->flushAll(Core::Deadline::after(std::chrono::milliseconds(200)), reason)));
    cr_assert_eq(reason.kind, Core::FailureKind::TimedOut);
    cr_assert_eq(daemon.bills->pending(), 10u);
    cr_assert(daemon.flushed.empty());
    fixture.store.setOutage(false);
    cr_assert(runTask(fixture.context, daemon.bills->flushAll(fixture.seconds(20), reason)), "%s", reason.text().c_str());
    cr_assert_eq(fixture.audit().spent, 100);
    cr_assert_eq(daemon.flushed.size(), 10u);
}

// Guards against bills that are charged twice when batches are retried after lost replies.
Test(BillQueue, lostRepliesChargeOnce)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        BudgetFixture fixture(seed);
        BudgetFixture::Daemon& daemon = fixture.addDaemon("a");
        fixture.topUp("t", 1000);
        Core::Reason reason;
        std::optional<Hold> hold = fixture.acquire(daemon, 500, fixture.seconds(10), reason);
        daemon.accounts->settle(*hold, 500);
        fixture.store.setFaults({ 5, 5, 30, 20 });
        for (int i = 0; i < 50; ++i) {
            daemon.bills->add(fixture.bill(daemon, std::to_string(i), 10));
            if (i % 7 == 0)
                runTask(fixture.context, daemon.bills->flushAll(Core::Deadline::after(std::chrono::milliseconds(3)), reason));
        }
        cr_assert(runTask(fixture.context, daemon.bills->flushAll(fixture.seconds(30), reason)), "seed %zu: %s", seed, reason.text().c_str());
        fixture.store.setFaults({});
        cr_assert_eq(fixture.audit().spent, 500, "seed %zu", seed);
        cr_assert_eq(fixture.audit().bills, 50u, "seed %zu", seed);
        cr_assert_eq(daemon.flushed.size(), 50u, "seed %zu", seed);
    }
}

// Guards against a refused bill that blocks the bills after it in the queue.
Test(BillQueue, refusedBillIsReportedOnce)
{
    BudgetFixture fixture(2);
    BudgetFixture::Daemon& daemon = fixture.addDaemon("a");
    fixture.topUp("t", 1000);
    Core::Reason reason;
    Ledger::Usage old = fixture.bill(daemon, "old", 10);
    old.endedAtMs -= 48 * 3600 * 1000;
    daemon.bills->add(old);
    daemon.bills->add(fixture.bill(daemon, "new", 10));
    cr_assert(runTask(fixture.context, daemon.bills->flushAll(fixture.seconds(20), reason)));
    cr_assert_eq(daemon.refusedBills.size(), 1u);
    cr_assert_eq(daemon.refusedBills.front().attemptId, "old");
    cr_assert_eq(fixture.audit().spent, 10);
}

// Guards against a flush task that submits each bill separately or does not stop.
Test(BillQueue, runFlushesInBatches)
{
    BudgetFixture fixture(3);
    BudgetFixture::Daemon& daemon = fixture.addDaemon("a");
    fixture.topUp("t", 1000);
    uint64_t before = fixture.store.writes();
    for (int i = 0; i < 100; ++i)
        daemon.bills->add(fixture.bill(daemon, std::to_string(i), 1));
    bool isStopped = false;
    boost::asio::co_spawn(fixture.context, daemon.bills->run(), [&isStopped](std::exception_ptr) { isStopped = true; });
    runUntil(fixture.context, [&daemon] { return daemon.bills->pending() == 0; });
    daemon.bills->stop();
    runUntil(fixture.context, [&isStopped] { return isStopped; });
    cr_assert_eq(fixture.store.writes(), before + 1);
}
