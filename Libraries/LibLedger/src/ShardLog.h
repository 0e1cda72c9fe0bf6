#pragma once

#include "LibLedger/Commit.h"
#include "LibLedger/Limits.h"
#include "LibLedger/ShardState.h"
#include "LibLedger/WriterSettings.h"
#include "LibPlatform/ObjectStore.h"
#include <array>

namespace Ledger {

// One shard's log in the platform: a checkpoint and a ring of slots. Used by one task at a time. Any number of
// processes may append; the conditional write of the next slot decides whose commit gets the sequence number.
class ShardLog {
public:
    ShardLog(Platform::ObjectStore, uint32_t shard, Holder writer, WriterSettings);

    // Reads the checkpoint and the commits after it, or only what is new.
    Core::Task<bool> load(Core::Deadline, Core::Reason&);
    // Commits the entries and returns the result of each. After OutcomeUnknown they may be committed or not.
    Core::Task<std::optional<std::vector<EntryResult>>> append(std::vector<Entry>, Core::Deadline, Core::Reason&);
    // Writes a checkpoint of the current state.
    Core::Task<bool> checkpoint(Core::Deadline, Core::Reason&);

    const ShardState& state() const { return m_state; }
    uint64_t sequence() const { return m_sequence; }
    uint64_t checkpointSequence() const { return m_baseSequence; }
    bool isCheckpointDue() const { return m_sequence >= m_baseSequence + commitsPerCheckpoint; }

private:
    enum class Progress {
        Committed,
        TryAgain,
        Failed,
    };

    std::string slotName(uint64_t sequence) const;
    Core::Deadline callDeadline(Core::Deadline) const;
    int64_t wallClockMs() const;
    bool adoptListing(const Platform::Listing&, Core::Reason&);
    bool adoptBase(const Platform::Object&, Core::Reason&);
    std::vector<EntryResult> applyCommit(const Commit&);
    Core::Task<Progress> tryAppend(Commit&, Core::Deadline, Core::Reason&);
    Core::Task<Progress> resolveLostReply(const Commit&, Core::Deadline, Core::Reason&);
    Core::Task<bool> makeRoom(Core::Deadline, Core::Reason&);
    Core::Task<bool> refreshBase(Core::Deadline, Core::Reason&);

    Platform::ObjectStore m_store;
    std::string m_prefix;
    Holder m_writer;
    WriterSettings m_settings;

    bool m_isLoaded { false };
    ShardState m_state;
    uint64_t m_sequence { 0 };
    uint64_t m_baseSequence { 0 };
    Platform::Version m_baseVersion { 0 };
    std::array<Platform::Version, ringSlots> m_slotVersions {};

    // The commit that append is about to write, and its results once the log contains it.
    std::string m_ownNonce;
    std::optional<std::vector<EntryResult>> m_ownResults;
};

}
