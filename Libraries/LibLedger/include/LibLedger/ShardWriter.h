#pragma once

#include "LibLedger/LedgerAudit.h"
#include "LibLedger/WriteRateLimiter.h"
#include "LibLedger/WriterSettings.h"
#include "LibPlatform/ObjectStore.h"
#include <deque>
#include <memory>
#include <optional>

namespace Ledger {

class ShardLog;

// Writes one shard. Entries submitted while a commit is being written are batched into the next one. Owned by shared
// pointers, since a commit in flight can outlive a caller whose deadline has passed.
class ShardWriter : public std::enable_shared_from_this<ShardWriter> {
public:
    ShardWriter(const boost::asio::any_io_executor&, Platform::ObjectStore, uint32_t shard, Holder self, WriterSettings);
    ~ShardWriter();
    ShardWriter(const ShardWriter&) = delete;
    ShardWriter& operator=(const ShardWriter&) = delete;

    // Returns one result per entry once all are durable. Fails with TimedOut or Unavailable without effect, or with
    // OutcomeUnknown if some entries may have been committed. Retrying is safe.
    Core::Task<std::optional<std::vector<EntryResult>>> submit(std::vector<Entry>, Core::Deadline, Core::Reason&);
    // Reads the commits of other daemons and returns the shard's audit.
    Core::Task<std::optional<LedgerAudit>> audit(Core::Deadline, Core::Reason&);

    bool isBusy() const { return m_isRunning || !m_queue.empty(); }
    // Time of the last submission.
    Core::SteadyClock::time_point lastUsed() const { return m_lastUsed; }

private:
    struct Submission;
    struct BatchPart {
        std::shared_ptr<Submission> submission;
        size_t count { 0 };
    };
    struct Batch {
        std::vector<Entry> entries;
        std::vector<BatchPart> parts;
        Core::Deadline deadline { Core::Deadline::never() };
    };

    Core::Task<void> writeBatches();
    bool hasUrgentEntry(const Submission&) const;
    Core::Task<void> waitForEntries();
    Batch takeBatch();
    void completeBatch(const Batch&, const std::vector<EntryResult>&);
    void failBatch(const Batch&, const Core::Reason&);
    void notifyRecalls(const Batch&, const std::vector<EntryResult>&);
    Core::Task<void> checkpointIfDue();
    void startWriting();

    boost::asio::any_io_executor m_executor;
    uint32_t m_shard;
    WriterSettings m_settings;
    std::unique_ptr<ShardLog> m_log;
    WriteRateLimiter m_rateLimiter;
    std::deque<std::shared_ptr<Submission>> m_queue;
    // True while a task is using the log.
    bool m_isRunning { false };
    // Notified when a batch has completed or failed, and when the log is no longer in use.
    Core::Signal m_progress;
    Core::Signal m_urgentQueued;
    Core::SteadyClock::time_point m_lastUsed;
};

}
