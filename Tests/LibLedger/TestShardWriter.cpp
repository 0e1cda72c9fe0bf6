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
    // A single writer has no conflicts.
    cr_assert_eq(fixture.store.putCalls(), fixture.store.writes());
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
    fixture.store.loseNextReplyFor("slot-1");
    std::optional<std::vector<EntryResult>> results = fixture.submit(writer, { TopUp { fixture.budget, "t1", 1000 } }, reason);
    cr_assert(results, "%s", reason.text().c_str());
    cr_assert_eq(results->at(0).code, ResultCode::Applied);
    cr_assert_eq(fixture.store.putCalls(), 1u);
}

// Guards against a paused writer that resumes after the ring buffer has wrapped around and overwrites newer commits.
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

// Guards against entries that are lost, or reported as committed, during an outage of the platform.
Test(ShardWriter, outageFailsWithoutEffect)
{
    LedgerFixture fixture(4);
    Core::Reason reason;
    std::shared_ptr<ShardWriter> writer = fixture.writer("a");
    cr_assert(fixture.submit(writer, { TopUp { fixture.budget, "t1", 1000 } }, reason));
    fixture.store.setOutage(true);
    cr_assert_not(fixture.submit(writer, { TopUp { fixture.budget, "t2", 1000 } }, reason));
    cr_assert_eq(reason.kind, Core::FailureKind::Unavailable);
    fixture.store.setOutage(false);
    std::optional<std::vector<EntryResult>> results = fixture.submit(writer, { TopUp { fixture.budget, "t2", 1000 } }, reason);
    cr_assert(results, "%s", reason.text().c_str());
    cr_assert_eq(results->at(0).code, ResultCode::Applied);
    cr_assert_eq(results->at(0).ungranted, 2000);
}

// Guards against a writer that overwrites a commit that is not covered by a checkpoint.
Test(ShardWriter, ringIsNotOverrunWithoutCheckpoint)
{
    LedgerFixture fixture(5);
    Core::Reason reason;
    std::shared_ptr<ShardWriter> writer = fixture.writer("a");
    fixture.store.failWritesTo("base");
    for (int i = 1; i <= 64; ++i)
        cr_assert(fixture.submit(writer, { TopUp { fixture.budget, "t" + std::to_string(i), 1 } }, reason), "%s", reason.text().c_str());
    cr_assert_not(fixture.submit(writer, { TopUp { fixture.budget, "t65", 1 } }, reason));
    cr_assert_not(fixture.submit(fixture.writer("b"), { TopUp { fixture.budget, "t65", 1 } }, reason));
    fixture.store.failWritesTo("");
    std::optional<std::vector<EntryResult>> results = fixture.submit(writer, { TopUp { fixture.budget, "t65", 1 } }, reason);
    cr_assert(results, "%s", reason.text().c_str());
    cr_assert_eq(results->at(0).ungranted, 65);
}

// Guards against values over the platform's limit of 1 MB.
Test(ShardWriter, largeSubmissionIsSplit)
{
    LedgerFixture fixture(6);
    Core::Reason reason;
    std::shared_ptr<ShardWriter> writer = fixture.writer("a");
    std::vector<Entry> entries { TopUp { fixture.budget, "t1", 1'000'000 } };
    for (int i = 0; i < 3000; ++i)
        entries.push_back(OpenAttempt { "attempt-" + std::to_string(i), std::string(500, 'r'), fixture.budget, { "a", 1 }, 1, "endpoint" });
    std::optional<std::vector<EntryResult>> results = fixture.submit(writer, entries, reason);
    cr_assert(results, "%s", reason.text().c_str());
    cr_assert_eq(results->size(), entries.size());
    cr_assert_eq(fixture.store.writes(), 2u);
    cr_assert_leq(fixture.store.largestValue(), 1'000'000u);
}

// Guards against a checkpoint over the size limit that is written, or fails without a clear reason.
Test(ShardWriter, oversizedCheckpointIsRefusedWithReason)
{
    LedgerFixture fixture(7);
    Core::Reason reason;
    std::shared_ptr<ShardWriter> writer = fixture.writer("a");
    cr_assert(fixture.submit(writer, { TopUp { fixture.budget, "t1", 1'000'000 } }, reason));
    std::optional<std::vector<EntryResult>> results;
    for (int commit = 0; commit < 160; ++commit) {
        std::vector<Entry> entries;
        for (int i = 0; i < 500; ++i)
            entries.push_back(fixture.usage(std::to_string(commit * 500 + i), "a", 1));
        results = fixture.submit(writer, entries, reason);
        if (!results)
            break;
    }
    cr_assert_not(results);
    cr_assert_eq(reason.kind, Core::FailureKind::Invalid);
    cr_assert(reason.message.find("more than the platform's limit") != std::string::npos, "%s", reason.message.c_str());
    cr_assert_leq(fixture.store.largestValue(), 1'000'000u);
}

// Guards against one write per submission: entries submitted during a write must be batched into the next one.
Test(ShardWriter, concurrentSubmissionsShareCommits)
{
    LedgerFixture fixture(8);
    std::shared_ptr<ShardWriter> writer = fixture.writer("a");
    int finished = 0;
    for (int i = 0; i < 200; ++i) {
        boost::asio::co_spawn(
            fixture.context, [](LedgerFixture& fixture, std::shared_ptr<ShardWriter> writer, int i) -> Core::Task<bool> {
            Core::Reason reason;
            std::vector<Entry> entries { TopUp { fixture.budget, "t" + std::to_string(i), 1 } };
            co_return (co_await writer->submit(std::move(entries), Core::Deadline::after(std::chrono::seconds(20)), reason)).has_value(); }(fixture, writer, i), [&finished](std::exception_ptr, bool isCommitted) { finished += isCommitted; });
    }
    runUntil(fixture.context, [&finished] { return finished == 200; });
    cr_assert_leq(fixture.store.writes(), 3u);
}

// Guards against grant requests for an exhausted budget that use up the platform's writes, and against a grant that is
// refused although tokens are returned in the same commit.
Test(ShardWriter, grantOfExhaustedBudgetWaitsForReturnedTokens)
{
    LedgerFixture fixture(10);
    WriterSettings settings = fixture.settings();
    settings.deferredCommitDelay = std::chrono::hours(1);
    std::shared_ptr<ShardWriter> writer = std::make_shared<ShardWriter>(fixture.context.get_executor(), fixture.store.client("a"), 0, Holder { "a", 1 }, settings);
    Core::Reason reason;
    cr_assert(fixture.submit(writer, { TopUp { fixture.budget, "t", 10 }, Grant { fixture.budget, { "x", 1 }, 10 } }, reason));
    std::vector<std::optional<std::vector<EntryResult>>> replies(3);
    std::vector<Core::Reason> reasons(3);
    int finished = 0;
    for (size_t i = 0; i < 3; ++i) {
        std::vector<Entry> entries { Grant { fixture.budget, { "y", i }, 4 } };
        boost::asio::co_spawn(fixture.context, writer->submit(std::move(entries), Core::Deadline::after(std::chrono::hours(2)), reasons[i]), [&replies, &finished, i](std::exception_ptr, std::optional<std::vector<EntryResult>> results) {
            replies[i] = std::move(results);
            ++finished;
        });
    }
    fixture.context.restart();
    while (fixture.context.poll() > 0) { }
    cr_assert_eq(finished, 0);
    cr_assert(fixture.submit(writer, { Return { fixture.budget, { "x", 1 }, 9 } }, reason), "%s", reason.text().c_str());
    runUntil(fixture.context, [&finished] { return finished == 3; });
    cr_assert_eq(replies[0]->at(0).cumulativeGranted, 4);
    cr_assert_eq(replies[1]->at(0).cumulativeGranted, 4);
    cr_assert_eq(replies[2]->at(0).cumulativeGranted, 1);
    cr_assert_eq(fixture.store.writes(), 2u);
}

// Guards against a caller that waits past its deadline, and against a commit that is lost because its caller timed out.
Test(ShardWriter, deadlineEndsTheWaitWithUnknownOutcome)
{
    LedgerFixture fixture(9);
    Core::Reason reason;
    std::shared_ptr<ShardWriter> writer = fixture.writer("a");
    fixture.store.setOutage(true);
    cr_assert_not(runTask(fixture.context, writer->submit({ TopUp { fixture.budget, "t1", 7 } }, Core::Deadline::after(std::chrono::milliseconds(0)), reason)));
    cr_assert(reason.kind == Core::FailureKind::TimedOut || reason.kind == Core::FailureKind::OutcomeUnknown);
    fixture.store.setOutage(false);
    std::optional<std::vector<EntryResult>> results = fixture.submit(writer, { TopUp { fixture.budget, "t1", 7 } }, reason);
    cr_assert(results, "%s", reason.text().c_str());
    cr_assert_eq(results->at(0).ungranted, 7);
}

// Guards against entries that are lost or applied twice when a writer crashes: the writer is stopped after each
// possible number of writes, and another one retries everything that was not confirmed.
Test(ShardWriter, crashAfterEachWriteLosesAndDuplicatesNothing)
{
    constexpr int submissions = 80;
    for (int64_t writes = 0; writes <= submissions + 4; ++writes) {
        LedgerFixture fixture(1000 + static_cast<uint64_t>(writes));
        std::vector<std::vector<Entry>> groups { { TopUp { fixture.budget, "t1", 10'000 } } };
        for (int i = 1; i < submissions; ++i) {
            groups.push_back({ Grant { fixture.budget, { "a", 1 }, i * 10 }, fixture.usage(std::to_string(i), "a", 7),
                Claim { "call-" + std::to_string(i), fixture.budget, 3, { "a", 1 }, "n" + std::to_string(i), fixture.nowMs } });
        }
        fixture.store.stopAfterWrites(writes);
        Core::Reason reason;
        std::shared_ptr<ShardWriter> first = fixture.writer("a");
        size_t confirmed = 0;
        while (confirmed < groups.size() && fixture.submit(first, groups[confirmed], reason))
            ++confirmed;
        fixture.store.stopAfterWrites(-1);
        std::shared_ptr<ShardWriter> second = fixture.writer("b");
        for (size_t i = confirmed; i < groups.size(); ++i) {
            std::optional<std::vector<EntryResult>> results = fixture.submit(second, groups[i], reason);
            cr_assert(results, "%s", reason.text().c_str());
            for (const EntryResult& result : *results)
                cr_assert(result.code == ResultCode::Applied || result.code == ResultCode::Duplicate);
        }
        BudgetAudit audit = fixture.audit(fixture.writer("c"), reason).value().budgets.at(fixture.budget);
        cr_assert_eq(audit.spent, 7 * (submissions - 1), "stopped after %ld writes", writes);
        cr_assert_eq(audit.bills, static_cast<uint64_t>(submissions - 1));
        cr_assert_eq(audit.reserved, 3 * (submissions - 1));
        cr_assert_eq(audit.toppedUp, 10'000);
    }
}
