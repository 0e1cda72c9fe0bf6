#include "LibLedger/ShardWriter.h"

#include "EntryCodec.h"
#include "LedgerEvents.h"
#include "ShardLog.h"
#include <algorithm>

namespace Ledger {

// Entries of one call of submit, which may be split over several commits.
struct ShardWriter::Submission {
    std::vector<Entry> entries;
    Core::Deadline deadline;
    // Number of entries added to a batch so far.
    size_t batchedCount { 0 };
    std::vector<EntryResult> results;
    std::optional<Core::Reason> failure;

    bool isDone() const { return failure || results.size() == entries.size(); }
};

bool ShardWriter::hasUrgentEntry(const Submission& submission) const
{
    return std::any_of(submission.entries.begin(), submission.entries.end(), [this](const Entry& entry) { return isUrgent(entry, m_log->state().budgets()); });
}

ShardWriter::ShardWriter(const boost::asio::any_io_executor& executor, Platform::ObjectStore store, uint32_t shard, Holder self, WriterSettings settings)
    : m_executor(executor)
    , m_shard(shard)
    , m_settings(settings)
    , m_log(std::make_unique<ShardLog>(std::move(store), shard, std::move(self), std::move(settings)))
    , m_rateLimiter(m_settings.writesPerSecond, m_settings.writeBurst)
    , m_progress(executor)
    , m_urgentQueued(executor)
    , m_lastUsed(Core::SteadyClock::now())
{
}

ShardWriter::~ShardWriter() = default;

Core::Task<std::optional<std::vector<EntryResult>>> ShardWriter::submit(std::vector<Entry> entries, Core::Deadline deadline, Core::Reason& reason)
{
    std::shared_ptr<ShardWriter> self = shared_from_this();
    m_lastUsed = Core::SteadyClock::now();
    if (entries.empty())
        co_return std::vector<EntryResult>();
    std::shared_ptr<Submission> submission = std::make_shared<Submission>(Submission { std::move(entries), deadline, 0, {}, std::nullopt });
    m_queue.push_back(submission);
    if (hasUrgentEntry(*submission))
        m_urgentQueued.notifyAll();
    startWriting();
    while (!submission->isDone()) {
        if (!co_await m_progress.wait(deadline) && !submission->isDone())
            break;
    }
    if (submission->isDone() && !submission->failure)
        co_return std::move(submission->results);
    if (submission->failure) {
        reason = *submission->failure;
        co_return std::nullopt;
    }
    std::erase(m_queue, submission);
    Core::FailureKind kind = submission->batchedCount == 0 ? Core::FailureKind::TimedOut : Core::FailureKind::OutcomeUnknown;
    reason = { kind, "commit ledger entries", "shard " + std::to_string(m_shard), "deadline passed before the commit was confirmed" };
    co_return std::nullopt;
}

Core::Task<std::optional<LedgerAudit>> ShardWriter::audit(Core::Deadline deadline, Core::Reason& reason)
{
    std::shared_ptr<ShardWriter> self = shared_from_this();
    while (m_isRunning) {
        if (co_await m_progress.wait(deadline))
            continue;
        reason = { Core::FailureKind::TimedOut, "audit ledger", "shard " + std::to_string(m_shard), "deadline passed while waiting for commits in progress" };
        co_return std::nullopt;
    }
    m_isRunning = true;
    bool isLoaded = co_await m_log->load(deadline, reason);
    m_isRunning = false;
    m_progress.notifyAll();
    startWriting();
    if (!isLoaded)
        co_return std::nullopt;
    LedgerAudit result { m_shard, m_log->sequence(), m_log->state().audit(), {} };
    for (const std::pair<const std::string, OpenAttemptState>& open : m_log->state().openAttempts())
        result.openAttempts.push_back(open.second.attempt);
    co_return result;
}

void ShardWriter::startWriting()
{
    if (m_isRunning || m_queue.empty())
        return;
    m_isRunning = true;
    Core::spawn(m_executor, "ledger shard " + std::to_string(m_shard), [](std::shared_ptr<ShardWriter> self) -> Core::Task<void> {
        co_await self->writeBatches();
    }(shared_from_this()));
}

Core::Task<void> ShardWriter::writeBatches()
{
    while (!m_queue.empty()) {
        co_await waitForEntries();
        Batch batch = takeBatch();
        if (batch.entries.empty())
            continue;
        m_rateLimiter.recordWrite(Core::SteadyClock::now());
        Core::Reason reason;
        std::optional<std::vector<EntryResult>> results = co_await m_log->append(batch.entries, batch.deadline, reason);
        if (results) {
            completeBatch(batch, *results);
            co_await checkpointIfDue();
        } else {
            failBatch(batch, reason);
        }
    }
    m_isRunning = false;
    m_progress.notifyAll();
    // Entries may have been queued since the last check.
    startWriting();
}

Core::Task<void> ShardWriter::waitForEntries()
{
    bool hasUrgent = std::any_of(m_queue.begin(), m_queue.end(), [this](const std::shared_ptr<Submission>& submission) { return hasUrgentEntry(*submission); });
    if (!hasUrgent && m_settings.deferredCommitDelay.count() > 0)
        co_await m_urgentQueued.wait(Core::Deadline::after(m_settings.deferredCommitDelay));
    if (m_settings.groupCommitDelay.count() > 0)
        co_await Core::sleepUntil(Core::Deadline::after(m_settings.groupCommitDelay));
    if (!m_rateLimiter.nextWrite().hasPassed())
        co_await Core::sleepUntil(m_rateLimiter.nextWrite());
}

ShardWriter::Batch ShardWriter::takeBatch()
{
    std::stable_partition(m_queue.begin(), m_queue.end(), [](const std::shared_ptr<Submission>& submission) {
        return std::all_of(submission->entries.begin(), submission->entries.end(), addsTokens);
    });
    Batch batch;
    batch.deadline = Core::Deadline::after(std::chrono::milliseconds(0));
    size_t bytes = 0;
    while (!m_queue.empty()) {
        std::shared_ptr<Submission> submission = m_queue.front();
        size_t first = submission->batchedCount;
        while (submission->batchedCount < submission->entries.size()) {
            const Entry& entry = submission->entries[submission->batchedCount];
            bytes += encodedSize(entry);
            if (bytes > maximumCommitEntryBytes && !batch.entries.empty())
                break;
            batch.entries.push_back(entry);
            ++submission->batchedCount;
        }
        if (submission->batchedCount > first) {
            batch.parts.push_back({ submission, submission->batchedCount - first });
            batch.deadline = std::max(batch.deadline, submission->deadline);
        }
        if (submission->batchedCount < submission->entries.size())
            break;
        m_queue.pop_front();
    }
    batch.deadline = std::min(batch.deadline, Core::Deadline::after(m_settings.commitTimeout));
    return batch;
}

void ShardWriter::completeBatch(const Batch& batch, const std::vector<EntryResult>& results)
{
    size_t next = 0;
    for (const BatchPart& part : batch.parts) {
        for (size_t i = 0; i < part.count; ++i)
            part.submission->results.push_back(results[next++]);
    }
    m_progress.notifyAll();
    notifyRecalls(batch, results);
    for (size_t i = 0; i < results.size(); ++i) {
        if (results[i].code == ResultCode::Rejected)
            Core::logEvent(entryRejected, "shard " + std::to_string(m_shard) + ", budget " + budgetOf(batch.entries[i]).text() + ": " + typeName(batch.entries[i]) + " entry rejected");
    }
}

void ShardWriter::notifyRecalls(const Batch& batch, const std::vector<EntryResult>& results)
{
    if (!m_settings.onRecallNeeded)
        return;
    std::map<BudgetId, std::set<Holder>> recalls;
    for (size_t i = 0; i < results.size(); ++i) {
        const Grant* grant = std::get_if<Grant>(&batch.entries[i]);
        std::map<BudgetId, BudgetState>::const_iterator budget = m_log->state().budgets().find(budgetOf(batch.entries[i]));
        if (!grant || budget == m_log->state().budgets().end())
            continue;
        std::vector<Holder> holders = holdersToRecall(budget->second, *grant, results[i]);
        if (!holders.empty())
            recalls[grant->budget].insert(holders.begin(), holders.end());
    }
    for (const std::pair<const BudgetId, std::set<Holder>>& recall : recalls)
        m_settings.onRecallNeeded(recall.first, std::vector<Holder>(recall.second.begin(), recall.second.end()));
}

void ShardWriter::failBatch(const Batch& batch, const Core::Reason& reason)
{
    for (const BatchPart& part : batch.parts) {
        Submission& submission = *part.submission;
        submission.failure = reason;
        // An earlier part of the same submission was committed.
        if (!submission.results.empty())
            submission.failure->kind = Core::FailureKind::OutcomeUnknown;
        std::erase(m_queue, part.submission);
    }
    Core::logEvent(commitFailed, "shard " + std::to_string(m_shard) + ", " + std::to_string(batch.entries.size()) + " entries: " + reason.text());
    m_progress.notifyAll();
}

Core::Task<void> ShardWriter::checkpointIfDue()
{
    if (!m_log->isCheckpointDue())
        co_return;
    Core::Reason reason;
    if (co_await m_log->checkpoint(Core::Deadline::after(m_settings.commitTimeout), reason))
        co_return;
    // Another writer has written a checkpoint at a slightly lower sequence.
    if (!m_log->isCheckpointDue())
        co_return;
    Core::logEvent(checkpointFailed, "shard " + std::to_string(m_shard) + ", at commit " + std::to_string(m_log->sequence()) + ", last checkpoint at " + std::to_string(m_log->checkpointSequence()) + ": " + reason.text());
}

}
