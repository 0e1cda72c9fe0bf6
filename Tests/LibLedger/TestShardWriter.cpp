#include "LedgerFixture.h"

#include <criterion/criterion.h>

using namespace Ledger;

// Guards against entries that are confirmed but not durable: a second writer must load exactly what was confirmed.
Test(ShardWriter, anotherWriterLoadsWhatWasCommitted)
{
    LedgerFixture fixture(1);
    Core::Reason reason;
    std::shared_ptr<ShardWriter> first = fixture.writer("a");
    cr_assert(fixture.submit(first, { TopUp { fixture.budget, "t1", 1000 } }, reason), "%s", reason.text().c_str());
    for (int i = 0; i < 200; ++i) {
        std::optional<std::vector<EntryResult>> results = fixture.submit(first, { Grant { fixture.budget, { "a", 1 }, i + 1 }, fixture.usage(std::to_string(i), "a", 1) }, reason);
        cr_assert(results, "%s", reason.text().c_str());
        cr_assert_eq(results->at(0).code, ResultCode::Applied);
        cr_assert_eq(results->at(1).code, ResultCode::Applied);
    }
    std::optional<LedgerAudit> audit = fixture.audit(fixture.writer("b"), reason);
    cr_assert(audit, "%s", reason.text().c_str());
    cr_assert_eq(audit->budgets.at(fixture.budget).spent, 200);
    cr_assert_eq(audit->budgets.at(fixture.budget).bills, 200u);
    cr_assert_eq(audit->budgets.at(fixture.budget).ungranted, 800);
    cr_assert(*audit == *fixture.audit(first, reason));
}

// Guards against a commit that is applied twice, or reported as failed, because the reply to its write was lost.
Test(ShardWriter, lostReplyIsResolvedByReadingTheSlot)
{
    LedgerFixture fixture(2);
    Core::Reason reason;
    std::shared_ptr<ShardWriter> writer = fixture.writer("a");
    fixture.store.loseNextReply("slot-1");
    std::optional<std::vector<EntryResult>> results = fixture.submit(writer, { TopUp { fixture.budget, "t1", 1000 } }, reason);
    cr_assert(results, "%s", reason.text().c_str());
    cr_assert_eq(results->at(0).code, ResultCode::Applied);
    cr_assert_eq(fixture.store.writes(), 1u);
}

// Guards against a paused writer that resumes after the ring was overwritten and replaces newer commits.
Test(ShardWriter, pausedWriterReloadsAfterSeventyCommits)
{
    LedgerFixture fixture(3);
    Core::Reason reason;
    std::shared_ptr<ShardWriter> paused = fixture.writer("a");
    cr_assert(fixture.submit(paused, { TopUp { fixture.budget, "t1", 1000 } }, reason));
    std::shared_ptr<ShardWriter> other = fixture.writer("b");
    for (int i = 1; i <= 70; ++i)
        cr_assert(fixture.submit(other, { Grant { fixture.budget, { "b", 1 }, i } }, reason), "%s", reason.text().c_str());
    std::optional<std::vector<EntryResult>> results = fixture.submit(paused, { Grant { fixture.budget, { "a", 1 }, 2000 } }, reason);
    cr_assert(results, "%s", reason.text().c_str());
    cr_assert_eq(results->at(0).cumulativeGranted, 930);
    cr_assert(*fixture.audit(paused, reason) == *fixture.audit(other, reason));
}
