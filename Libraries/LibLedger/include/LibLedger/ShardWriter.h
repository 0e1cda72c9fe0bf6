#pragma once

#include "LibLedger/LedgerAudit.h"
#include "LibLedger/WritePacer.h"
#include "LibLedger/WriterSettings.h"
#include "LibPlatform/ObjectStore.h"
#include <deque>
#include <memory>
#include <optional>

namespace Ledger {

class ShardLog;

// Writes one shard. Entries that arrive while a commit is being written go together into the next one. Held by a
// shared pointer, since a commit in flight outlives a caller that has given up.
class ShardWriter : public std::enable_shared_from_this<ShardWriter> {
public:
    ShardWriter(const boost::asio::any_io_executor&, Platform::ObjectStore, uint32_t shard, Holder self, WriterSettings);
    ~ShardWriter();
    ShardWriter(const ShardWriter&) = delete;
    ShardWriter& operator=(const ShardWriter&) = delete;

    // Returns one result for each entry once all are durable. Fails with TimedOut or Unavailable without effect, or
    // with OutcomeUnknown when some entries may be committed; a repetition is safe.
    Core::Task<std::optional<std::vector<EntryResult>>> submit(std::vector<Entry>, Core::Deadline, Core::Reason&);
    // Reads what other daemons have committed and returns the shard's audit.
    Core::Task<std::optional<LedgerAudit>> audit(Core::Deadline, Core::Reason&);

    bool isBusy() const { return m_isRunning || !m_queue.empty(); }
    // When the last submission arrived.
    Core::SteadyClock::time_point lastUsed() const { return m_lastUsed; }

private:
    struct Submission;
    struct Part {
        std::shared_ptr<Submission> submission;
        size_t count { 0 };
    };
    struct Batch {
        std::vector<Entry> entries;
        std::vector<Part> parts;
        Core::Deadline deadline { Core::Deadline::never() };
    };

    Core::Task<void> run();
    bool hasUrgentEntry(const Submission&) const;
    Core::Task<void> gather();
    Batch takeBatch();
    void finish(const Batch&, const std::vector<EntryResult>&);
    void fail(const Batch&, const Core::Reason&);
    void requestRecalls(const Batch&, const std::vector<EntryResult>&);
    Core::Task<void> checkpointIfDue();
    void start();

    boost::asio::any_io_executor m_executor;
    uint32_t m_shard;
    WriterSettings m_settings;
    std::unique_ptr<ShardLog> m_log;
    WritePacer m_pacer;
    std::deque<std::shared_ptr<Submission>> m_queue;
    // True while one task owns the log.
    bool m_isRunning { false };
    Core::Signal m_finished;
    Core::Signal m_urgentArrived;
    Core::SteadyClock::time_point m_lastUsed;
};

}
