#include "ShardLog.h"

#include "CheckpointCodec.h"
#include "LibCore/Random.h"
#include <algorithm>
#include <map>

namespace Ledger {

ShardLog::ShardLog(Platform::ObjectStore store, uint32_t shard, Holder writer, WriterSettings settings)
    : m_store(std::move(store))
    , m_prefix("ledger/" + std::to_string(shard) + "/")
    , m_writer(std::move(writer))
    , m_settings(std::move(settings))
{
}

std::string ShardLog::slotName(uint64_t sequence) const
{
    return m_prefix + "slot-" + std::to_string(sequence % ringSlots);
}

Core::Deadline ShardLog::callDeadline(Core::Deadline deadline) const
{
    return std::min(deadline, Core::Deadline::after(m_settings.callTimeout));
}

int64_t ShardLog::wallClockMs() const
{
    if (m_settings.wallClockMs)
        return m_settings.wallClockMs();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

Core::Task<bool> ShardLog::load(Core::Deadline deadline, Core::Reason& reason)
{
    std::optional<Platform::Listing> listing = co_await m_store.list(m_prefix, callDeadline(deadline), reason);
    if (!listing) {
        // Reads have no side effects, so an unknown outcome is the same as a failure.
        if (reason.kind == Core::FailureKind::OutcomeUnknown)
            reason.kind = Core::FailureKind::Unavailable;
        co_return false;
    }
    m_isLoaded = applyListing(*listing, reason);
    co_return m_isLoaded;
}

bool ShardLog::applyCheckpoint(const Platform::Object& object, Core::Reason& reason)
{
    std::optional<Checkpoint> checkpoint = decodeCheckpoint(object.value);
    if (!checkpoint) {
        reason = { Core::FailureKind::Invalid, "read checkpoint", object.name, "value is not a valid checkpoint" };
        return false;
    }
    m_checkpointVersion = object.version;
    m_checkpointSequence = checkpoint->sequence;
    if (m_sequence >= checkpoint->sequence)
        return true;
    m_state = std::move(checkpoint->state);
    m_sequence = checkpoint->sequence;
    return true;
}

bool ShardLog::applyListing(const Platform::Listing& listing, Core::Reason& reason)
{
    std::map<uint64_t, Commit> commits;
    std::array<Platform::Version, ringSlots> versions {};
    for (const Platform::Object& object : listing.objects) {
        if (object.name == m_prefix + "base") {
            if (!applyCheckpoint(object, reason))
                return false;
            continue;
        }
        std::optional<Commit> commit = decodeCommit(object.value);
        if (!commit || object.name != slotName(commit->sequence)) {
            reason = { Core::FailureKind::Invalid, "read commit", object.name, "value is not a valid commit of this slot" };
            return false;
        }
        versions[commit->sequence % ringSlots] = object.version;
        commits.emplace(commit->sequence, std::move(*commit));
    }
    m_slotVersions = versions;
    for (std::map<uint64_t, Commit>::iterator next = commits.find(m_sequence + 1); next != commits.end(); next = commits.find(m_sequence + 1))
        applyCommit(next->second);
    uint64_t latest = commits.empty() ? m_checkpointSequence : std::max(m_checkpointSequence, commits.rbegin()->first);
    if (latest == m_sequence)
        return true;
    uint64_t missing = std::min(latest, m_sequence) + 1;
    reason = { Core::FailureKind::Invalid, "read commits", m_prefix, "commit " + std::to_string(missing) + " is missing; the latest is " + std::to_string(std::max(latest, m_sequence)) };
    return false;
}

std::vector<EntryResult> ShardLog::applyCommit(const Commit& commit)
{
    m_state.beginCommit(commit.committedAtMs, commit.expireBeforeMs);
    std::vector<EntryResult> results;
    results.reserve(commit.entries.size());
    for (const Entry& entry : commit.entries)
        results.push_back(m_state.apply(entry));
    m_sequence = commit.sequence;
    if (commit.nonce == m_pendingNonce)
        m_pendingResults = results;
    return results;
}

Core::Task<std::optional<std::vector<EntryResult>>> ShardLog::append(std::vector<Entry> entries, Core::Deadline deadline, Core::Reason& reason)
{
    Commit commit;
    commit.writer = m_writer;
    commit.nonce = Core::randomIdentifier();
    commit.entries = std::move(entries);
    m_pendingNonce = commit.nonce;
    m_pendingResults.reset();
    bool mayBeWritten = false;
    int failures = 0;
    std::chrono::milliseconds backoff = m_settings.initialBackoff;
    while (true) {
        AppendStatus status = co_await tryAppend(commit, deadline, reason);
        if (status == AppendStatus::Committed)
            co_return std::move(m_pendingResults);
        mayBeWritten = mayBeWritten || reason.kind == Core::FailureKind::OutcomeUnknown;
        if (status == AppendStatus::Retry && !deadline.hasPassed())
            continue;
        if (reason.kind == Core::FailureKind::Invalid || ++failures >= m_settings.maximumFailedCalls || Core::Deadline::after(backoff) >= deadline)
            break;
        co_await Core::sleepUntil(Core::Deadline::after(backoff));
        backoff *= 2;
    }
    if (mayBeWritten)
        reason.kind = Core::FailureKind::OutcomeUnknown;
    co_return std::nullopt;
}

Core::Task<ShardLog::AppendStatus> ShardLog::tryAppend(Commit& commit, Core::Deadline deadline, Core::Reason& reason)
{
    if (!m_isLoaded && !co_await load(deadline, reason))
        co_return AppendStatus::Failed;
    if (m_pendingResults)
        co_return AppendStatus::Committed;
    if (!co_await ensureSlotIsFree(deadline, reason))
        co_return AppendStatus::Failed;
    commit.sequence = m_sequence + 1;
    commit.committedAtMs = wallClockMs();
    commit.expireBeforeMs = commit.committedAtMs - m_settings.identityLifetime.count();
    size_t slot = commit.sequence % ringSlots;
    std::optional<Platform::Version> version = co_await m_store.put(slotName(commit.sequence), encodeCommit(commit), m_slotVersions[slot], callDeadline(deadline), reason);
    if (version) {
        m_slotVersions[slot] = *version;
        applyCommit(commit);
        co_return AppendStatus::Committed;
    }
    if (reason.kind == Core::FailureKind::OutcomeUnknown)
        co_return co_await resolveUnknownOutcome(commit, deadline, reason);
    if (reason.kind != Core::FailureKind::Conflict)
        co_return AppendStatus::Failed;
    m_isLoaded = co_await load(deadline, reason);
    co_return m_isLoaded ? AppendStatus::Retry : AppendStatus::Failed;
}

Core::Task<ShardLog::AppendStatus> ShardLog::resolveUnknownOutcome(const Commit& commit, Core::Deadline deadline, Core::Reason& reason)
{
    size_t slot = commit.sequence % ringSlots;
    Core::Reason readReason;
    std::optional<Platform::Object> object = co_await m_store.get(slotName(commit.sequence), callDeadline(deadline), readReason);
    if (!object && readReason.kind != Core::FailureKind::NotFound) {
        m_isLoaded = false;
        co_return AppendStatus::Failed;
    }
    // Retrying the write is safe: if the first one is delayed, only one of them matches the slot's version.
    if (!object || object->version == m_slotVersions[slot])
        co_return AppendStatus::Failed;
    std::optional<Commit> written = decodeCommit(object->value);
    if (written && written->sequence == commit.sequence && written->writer == commit.writer && written->nonce == commit.nonce) {
        m_slotVersions[slot] = object->version;
        applyCommit(*written);
        co_return AppendStatus::Committed;
    }
    m_isLoaded = co_await load(deadline, reason);
    co_return m_isLoaded ? AppendStatus::Retry : AppendStatus::Failed;
}

Core::Task<bool> ShardLog::ensureSlotIsFree(Core::Deadline deadline, Core::Reason& reason)
{
    // The next commit overwrites the one `ringSlots` before it, which must be covered by the checkpoint.
    if (m_sequence + 1 <= m_checkpointSequence + ringSlots)
        co_return true;
    co_return co_await checkpoint(deadline, reason) && m_sequence + 1 <= m_checkpointSequence + ringSlots;
}

Core::Task<bool> ShardLog::checkpoint(Core::Deadline deadline, Core::Reason& reason)
{
    uint64_t sequence = m_sequence;
    std::string value = encodeCheckpoint(sequence, m_state);
    if (value.size() > maximumValueBytes) {
        reason = { Core::FailureKind::Invalid, "write checkpoint", m_prefix + "base",
            "checkpoint has " + std::to_string(value.size()) + " bytes, more than the platform's limit of " + std::to_string(maximumValueBytes)
                + "; use more shards or a shorter identity_lifetime" };
        co_return false;
    }
    std::optional<Platform::Version> version = co_await m_store.put(m_prefix + "base", std::move(value), m_checkpointVersion, callDeadline(deadline), reason);
    if (version) {
        m_checkpointVersion = *version;
        m_checkpointSequence = sequence;
        co_return true;
    }
    if (reason.kind != Core::FailureKind::Conflict && reason.kind != Core::FailureKind::OutcomeUnknown)
        co_return false;
    // Another writer's checkpoint at this sequence or later is equivalent, since all writers compute the same state.
    co_return co_await reloadCheckpoint(deadline, reason) && m_checkpointSequence >= sequence;
}

Core::Task<bool> ShardLog::reloadCheckpoint(Core::Deadline deadline, Core::Reason& reason)
{
    Core::Reason writeReason = reason;
    std::optional<Platform::Object> object = co_await m_store.get(m_prefix + "base", callDeadline(deadline), reason);
    if (!object) {
        reason = writeReason;
        co_return false;
    }
    uint64_t before = m_sequence;
    if (!applyCheckpoint(*object, reason))
        co_return false;
    // The checkpoint is ahead of the local state, so the cached slot versions are stale as well.
    if (m_sequence != before)
        m_isLoaded = false;
    if (m_checkpointSequence < before)
        reason = writeReason;
    co_return true;
}

}
