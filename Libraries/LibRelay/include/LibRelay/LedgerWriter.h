#pragma once

#include "LibCore/Async.h"
#include "LibPlatform/ObjectStore.h"
#include "LibRelay/WorkspaceLedger.h"
#include <memory>
#include <vector>

namespace Relay {

struct LedgerWriterSettings {
    // How long non-urgent changes are collected into one write.
    int64_t batchWindowMs { 500 };
    // Timeout of one call to the store.
    int64_t storeTimeoutMs { 1'000 };
    // A copy of the shard that is older than this is read again before a change is rejected.
    int64_t maxCopyAgeMs { 100 };
    // Minimum delay before a failed write is retried. The jitter on top grows with the number of attempts.
    int64_t retryDelayMs { 60 };
};

// Writes one shard's changes to the store and batches the changes of several daemons into one conditional write. Any daemon
// may write any shard: on a conflict the losing writer reads the shard again, and a change that is sent twice takes effect
// once.
class LedgerWriter {
public:
    LedgerWriter(const boost::asio::any_io_executor&, Platform::ObjectStore, std::string objectName, LedgerWriterSettings);

    // Applies the change. After a failure of kind OutcomeUnknown it may still take effect; after any other it has not.
    Core::Task<std::optional<GrantState>> submit(GrantChange, bool isUrgent, Core::Deadline, Core::Reason&);

    // Writes the collected changes without waiting for the end of the batch window.
    void flush();

    uint64_t writes() const { return m_writes; }

private:
    struct PendingChange {
        PendingChange(const boost::asio::any_io_executor& executor, GrantChange change, Core::Deadline deadline)
            : change(std::move(change))
            , deadline(deadline)
            , completed(executor)
        {
        }
        GrantChange change;
        Core::Deadline deadline;
        Core::Signal completed;
        bool isDone { false };
        // A write with this change was sent but not confirmed.
        bool mayBeWritten { false };
        std::optional<GrantState> state;
        Core::Reason reason;
    };
    using Batch = std::vector<std::shared_ptr<PendingChange>>;

    Core::Task<void> run();
    Core::Task<void> waitForBatch();
    std::chrono::milliseconds retryDelay(int attempts) const;
    Core::Task<bool> read(Core::Reason&);
    // Returns false if the batch has to be retried.
    Core::Task<bool> commit(Batch&);
    void finish(PendingChange&, std::optional<GrantState>, const Core::Reason&);
    void failNonRetriable(Batch&, const Core::Reason&);
    bool isCopyFresh() const;

    boost::asio::any_io_executor m_executor;
    Platform::ObjectStore m_store;
    std::string m_name;
    LedgerWriterSettings m_settings;
    std::optional<LedgerShard> m_shard;
    Platform::Version m_version { 0 };
    Core::SteadyClock::time_point m_readAt {};
    Batch m_queue;
    Core::Signal m_urgent;
    bool m_hasUrgent { false };
    bool m_isRunning { false };
    uint64_t m_writes { 0 };
};

}
