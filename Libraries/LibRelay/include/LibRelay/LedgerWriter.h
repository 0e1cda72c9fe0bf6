#pragma once

#include "LibCore/Async.h"
#include "LibPlatform/ObjectStore.h"
#include "LibRelay/WorkspaceLedger.h"
#include <memory>
#include <vector>

namespace Relay {

struct LedgerWriterSettings {
    // Time that changes which nobody waits for are gathered into one write.
    int64_t batchWindowMs { 250 };
    // Time for one call to the store.
    int64_t storeTimeoutMs { 1'000 };
    // A copy of the shard that is older is read again before a change is turned down.
    int64_t maxCopyAgeMs { 100 };
    // Shortest pause before a failed write is tried again; its random part grows with the tries.
    int64_t retryDelayMs { 60 };
};

// Writes one shard's changes to the store, those of several daemons in one conditional write. Any daemon may write any
// shard: of two writers that meet one reads again, and a change that is sent twice takes effect once.
class LedgerWriter {
public:
    LedgerWriter(const boost::asio::any_io_executor&, Platform::ObjectStore, std::string objectName, LedgerWriterSettings);

    // Applies the change. OutcomeUnknown: it may still take effect; any other failure: it has not.
    Core::Task<std::optional<GrantState>> submit(GrantChange, bool isUrgent, Core::Deadline, Core::Reason&);

    // Writes the changes that are being gathered at once, since a request waits for one of them.
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
        // A write with this change was sent and not answered.
        bool mayBeWritten { false };
        std::optional<GrantState> state;
        Core::Reason reason;
    };
    using Batch = std::vector<std::shared_ptr<PendingChange>>;

    Core::Task<void> run();
    Core::Task<void> waitForBatch();
    std::chrono::milliseconds retryDelay(int attempts) const;
    Core::Task<bool> read(Core::Reason&);
    // False when the batch has to be tried again.
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
