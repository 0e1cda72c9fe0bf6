#include "LedgerFixture.h"
#include "LibLedger/Commit.h"
#include "RandomEntries.h"
#include "ReferenceLedger.h"

#include <criterion/criterion.h>

using namespace Ledger;

namespace {

// Results that were reported to submitters.
struct ConfirmedResults {
    std::set<std::string> attempts;
    // Nonces whose claim of a call was reported as successful, by request id.
    std::map<std::string, std::set<std::string>> claimNonces;
    uint64_t submissions { 0 };
    uint64_t failures { 0 };
};

struct DifferentialRun {
    LedgerFixture fixture;
    // All commits in the order in which they were written to the store.
    std::vector<Commit> log;
    ConfirmedResults confirmed;

    explicit DifferentialRun(uint64_t seed)
        : fixture(seed)
    {
        fixture.store.onWrite = [this](const Platform::Object& object) {
            std::optional<Commit> commit = object.name.ends_with("base") ? std::nullopt : decodeCommit(object.value);
            if (commit)
                log.push_back(std::move(*commit));
        };
    }

    void record(const std::vector<Entry>& entries, const std::vector<EntryResult>& results)
    {
        for (size_t i = 0; i < entries.size(); ++i) {
            bool isAccepted = results[i].code == ResultCode::Applied || results[i].code == ResultCode::Duplicate;
            if (const Usage* usage = std::get_if<Usage>(&entries[i]); usage && isAccepted)
                confirmed.attempts.insert(usage->attemptId);
            if (const Claim* claim = std::get_if<Claim>(&entries[i]); claim && isAccepted)
                confirmed.claimNonces[claim->requestId].insert(claim->nonce);
        }
    }

    // Submits random entries in small groups, retrying each group up to 4 times.
    Core::Task<bool> sendEntries(std::shared_ptr<ShardWriter> writer, uint64_t seed, int groups)
    {
        RandomEntries source(seed, fixture.nowMs);
        for (int group = 0; group < groups; ++group) {
            std::vector<Entry> entries;
            for (uint64_t count = 1 + source.below(6); count > 0; --count)
                entries.push_back(source.next());
            for (int attempt = 0; attempt < 5; ++attempt) {
                Core::Reason reason;
                ++confirmed.submissions;
                std::optional<std::vector<EntryResult>> results = co_await writer->submit(entries, Core::Deadline::after(std::chrono::seconds(20)), reason);
                if (results) {
                    record(entries, *results);
                    break;
                }
                ++confirmed.failures;
            }
        }
        co_return true;
    }

    // Submits entries to two writers from several concurrent senders.
    void sendFromTwoWriters(uint64_t seed)
    {
        std::vector<std::shared_ptr<ShardWriter>> writers { fixture.writer("a"), fixture.writer("b") };
        int running = 0;
        for (uint64_t sender = 0; sender < 6; ++sender) {
            ++running;
            boost::asio::co_spawn(fixture.context, sendEntries(writers[sender % 2], seed * 100 + sender, 150), [&running](std::exception_ptr, bool) { --running; });
        }
        runUntil(fixture.context, [&running] { return running == 0; });
    }
};

void compare(ReferenceLedger& reference, const std::map<BudgetId, BudgetAudit>& audits, uint64_t seed)
{
    cr_assert_eq(reference.budgets().size(), audits.size());
    for (const std::pair<const BudgetId, BudgetAudit>& item : audits) {
        ReferenceLedger::BudgetTotals& totals = reference.budgets().at(item.first);
        const BudgetAudit& audit = item.second;
        cr_assert_eq(audit.toppedUp, totals.toppedUp, "seed %zu", seed);
        cr_assert_eq(audit.spent, totals.spent, "seed %zu", seed);
        cr_assert_eq(audit.reserved, totals.reserved, "seed %zu", seed);
        cr_assert_eq(audit.ungranted, totals.ungranted(), "seed %zu", seed);
        cr_assert_geq(totals.ungranted(), 0, "overspend, seed %zu", seed);
        cr_assert_eq(audit.bills, totals.attemptsOfRequest.size(), "seed %zu", seed);
        uint64_t several = 0;
        for (const std::pair<const std::string, int>& request : totals.attemptsOfRequest)
            several += request.second > 1;
        cr_assert_eq(audit.requestsWithSeveralAttempts, several, "seed %zu", seed);
        for (const std::pair<const Holder, Tokens>& outstanding : audit.outstanding)
            cr_assert_eq(outstanding.second, totals.outstanding(outstanding.first), "seed %zu", seed);
    }
}

void runWithFaults(uint64_t seed, FakeObjectStore::Faults faults)
{
    DifferentialRun run(seed);
    run.fixture.store.setFaults(faults);
    run.sendFromTwoWriters(seed);
    run.fixture.store.setFaults({});
    Core::Reason reason;
    std::optional<LedgerAudit> audit = run.fixture.audit(run.fixture.writer("c"), reason);
    cr_assert(audit, "seed %zu: %s", seed, reason.text().c_str());
    ReferenceLedger reference;
    for (size_t i = 0; i < run.log.size(); ++i) {
        cr_assert_eq(run.log[i].sequence, i + 1, "a commit was overwritten or written twice, seed %zu", seed);
        for (const Entry& entry : run.log[i].entries)
            reference.apply(entry);
    }
    compare(reference, audit->budgets, seed);
    for (const std::string& attempt : run.confirmed.attempts)
        cr_assert(reference.attempts().contains(attempt), "confirmed attempt %s is not charged, seed %zu", attempt.c_str(), seed);
    // Claims need no separate check: a call can be claimed again only after its first claim was voided, and two claims
    // of one call would differ from the reference ledger.
    cr_assert_gt(run.log.size(), 64u);
    cr_assert_gt(run.confirmed.submissions, 800u);
}

}

// Guards against differences between two competing shard writers and the reference ledger, without faults.
Test(Differential, twoWritersWithoutFaults)
{
    for (uint64_t seed = 1; seed <= 5; ++seed)
        runWithFaults(seed, {});
}

// Guards against lost, duplicated or reordered commits when replies are lost, calls fail and the rate is limited.
Test(Differential, twoWritersWithFaults)
{
    for (uint64_t seed = 10; seed < 25; ++seed)
        runWithFaults(seed, { 3, 3, 8, 4 });
}

// Guards against a call that is claimed successfully by two daemons: without Void entries, only one nonce per call may
// be reported as successful.
Test(Differential, callIsClaimedOnce)
{
    for (uint64_t seed = 30; seed < 40; ++seed) {
        DifferentialRun run(seed);
        run.fixture.store.setFaults({ 3, 3, 10, 5 });
        std::vector<std::shared_ptr<ShardWriter>> writers { run.fixture.writer("a"), run.fixture.writer("b") };
        Core::Reason reason;
        while (!run.fixture.submit(writers[0], { TopUp { run.fixture.budget, "t", 1'000'000 } }, reason)) { }
        int running = 0;
        for (int sender = 0; sender < 8; ++sender) {
            ++running;
            boost::asio::co_spawn(
                run.fixture.context, [](DifferentialRun& run, std::shared_ptr<ShardWriter> writer, int sender) -> Core::Task<bool> {
                for (int call = 0; call < 60; ++call) {
                    std::vector<Entry> entries { Claim { "call-" + std::to_string(call), run.fixture.budget, 10, { "host", 1 }, "nonce-" + std::to_string(sender) + "-" + std::to_string(call), run.fixture.nowMs } };
                    std::optional<std::vector<EntryResult>> results;
                    Core::Reason reason;
                    for (int attempt = 0; attempt < 20 && !results; ++attempt)
                        results = co_await writer->submit(entries, Core::Deadline::after(std::chrono::seconds(20)), reason);
                    if (results)
                        run.record(entries, *results);
                }
                co_return true; }(run, writers[static_cast<size_t>(sender) % 2], sender), [&running](std::exception_ptr, bool) { --running; });
        }
        runUntil(run.fixture.context, [&running] { return running == 0; });
        cr_assert_eq(run.confirmed.claimNonces.size(), 60u, "seed %zu", seed);
        for (const std::pair<const std::string, std::set<std::string>>& call : run.confirmed.claimNonces)
            cr_assert_eq(call.second.size(), 1u, "%s was claimed %zu times, seed %zu", call.first.c_str(), call.second.size(), seed);
        run.fixture.store.setFaults({});
        std::optional<LedgerAudit> audit = run.fixture.audit(run.fixture.writer("c"), reason);
        cr_assert_eq(audit->budgets.at(run.fixture.budget).reserved, 600);
    }
}
