#pragma once

#include "LibCore/Async.h"
#include "LibPlatform/ObjectStore.h"
#include "LibRelay/WorkspaceLedger.h"
#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace Relay {

struct LedgerWriterSettings {
    // How long non-urgent changes are collected into one write.
    int64_t batchWindowMs { 1'000 };
    // Timeout of one call to the store.
    int64_t storeTimeoutMs { 1'000 };
    // A copy of the shard that is older than this is read again before a change is rejected.
    int64_t maxCopyAgeMs { 100 };
    // Minimum delay before a failed write is retried. The jitter on top grows with the number of attempts.
    int64_t retryDelayMs { 60 };
    // Interval in which a shard that is being rebuilt is looked at.
    int64_t rebuildIntervalMs { 200 };
    // How long the daemons that have not confirmed a shard are waited for.
    int64_t rebuildLimitMs { 5'000 };
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

    // Must be called before the first change. Reads the shard, so that this process knows what the earlier ones on its host were
    // granted. `announcedHosts` returns the hosts whose daemons may hold grants.
    void start(std::string host, std::function<std::set<std::string>()> announcedHosts);
    // Rebuilds the shard if the store was restored from an older copy.
    void rebuild();

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

    // The last confirmed copy of the shard.
    struct KnownShard {
        Platform::Version version { 0 };
        LedgerShard shard;
    };

    void spawnRun();
    Core::Task<void> run();
    // Reads the shard, and adds what this daemon knows if the store was restored. Returns true once the shard is complete.
    Core::Task<bool> synchronize();
    bool isIncomplete() const { return m_shard->era < Platform::eraOf(m_version); }
    void remember();
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
    std::string m_host;
    std::function<std::set<std::string>()> m_announcedHosts;
    std::optional<LedgerShard> m_shard;
    std::optional<KnownShard> m_known;
    // While the shard is rebuilt: when the daemons that have not confirmed it are no longer waited for.
    std::optional<Core::Deadline> m_rebuildLimit;
    bool m_isSynchronizing { false };
    Platform::Version m_version { 0 };
    Core::SteadyClock::time_point m_readAt {};
    Batch m_queue;
    Core::Signal m_urgent;
    bool m_hasUrgent { false };
    bool m_isRunning { false };
    uint64_t m_writes { 0 };
};

}
