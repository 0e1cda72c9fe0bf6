#pragma once

#include "LibLedger/Commit.h"
#include "LibLedger/Limits.h"
#include "LibLedger/ShardState.h"
#include "LibLedger/WriterSettings.h"
#include "LibPlatform/ObjectStore.h"
#include <array>

namespace Ledger {

// Log of one shard in the platform's store: a checkpoint and a ring buffer of commits. Used by one task at a time. Any
// number of processes may append: the conditional write of the next slot decides which commit gets the sequence number.
class ShardLog {
public:
    ShardLog(Platform::ObjectStore, uint32_t shard, Holder writer, WriterSettings);

    // Reads the checkpoint and the commits after it, and applies those that are not part of the state yet.
    Core::Task<bool> load(Core::Deadline, Core::Reason&);
    // Commits the entries and returns one result per entry. After OutcomeUnknown they may or may not be committed.
    Core::Task<std::optional<std::vector<EntryResult>>> append(std::vector<Entry>, Core::Deadline, Core::Reason&);
    Core::Task<bool> checkpoint(Core::Deadline, Core::Reason&);

    const ShardState& state() const { return m_state; }
    uint64_t sequence() const { return m_sequence; }
    uint64_t checkpointSequence() const { return m_checkpointSequence; }
    bool isCheckpointDue() const { return m_sequence >= m_checkpointSequence + commitsPerCheckpoint; }

private:
    enum class AppendStatus {
        Committed,
        Retry,
        Failed,
    };

    std::string slotName(uint64_t sequence) const;
    Core::Deadline callDeadline(Core::Deadline) const;
    int64_t wallClockMs() const;
    bool applyListing(const Platform::Listing&, Core::Reason&);
    bool applyCheckpoint(const Platform::Object&, Core::Reason&);
    std::vector<EntryResult> applyCommit(const Commit&);
    Core::Task<AppendStatus> tryAppend(Commit&, Core::Deadline, Core::Reason&);
    Core::Task<AppendStatus> resolveUnknownOutcome(const Commit&, Core::Deadline, Core::Reason&);
    Core::Task<bool> ensureSlotIsFree(Core::Deadline, Core::Reason&);
    Core::Task<bool> reloadCheckpoint(Core::Deadline, Core::Reason&);

    Platform::ObjectStore m_store;
    std::string m_prefix;
    Holder m_writer;
    WriterSettings m_settings;

    bool m_isLoaded { false };
    ShardState m_state;
    uint64_t m_sequence { 0 };
    uint64_t m_checkpointSequence { 0 };
    Platform::Version m_checkpointVersion { 0 };
    std::array<Platform::Version, ringSlots> m_slotVersions {};

    // Nonce of the commit that append is writing, and its results once the log contains it.
    std::string m_pendingNonce;
    std::optional<std::vector<EntryResult>> m_pendingResults;
};

}
