#include "LibRelay/LedgerWriter.h"

#include "Events.h"
#include "LibCore/Random.h"
#include <algorithm>

namespace Relay {

using Core::Deadline;
using Core::FailureKind;
using Core::Reason;

// Maximum number of times that the jitter of the retry delay is doubled.
static constexpr int maxDoublings = 4;

LedgerWriter::LedgerWriter(const boost::asio::any_io_executor& executor, Platform::ObjectStore store, std::string objectName, LedgerWriterSettings settings)
    : m_executor(executor)
    , m_store(std::move(store))
    , m_name(std::move(objectName))
    , m_settings(settings)
    , m_urgent(executor)
{
}

Core::Task<std::optional<GrantState>> LedgerWriter::submit(GrantChange change, bool isUrgent, Deadline deadline, Reason& reason)
{
    std::shared_ptr<PendingChange> pending = std::make_shared<PendingChange>(m_executor, std::move(change), deadline);
    m_queue.push_back(pending);
    if (isUrgent)
        flush();
    if (!std::exchange(m_isRunning, true))
        Core::spawn(m_executor, "write ledger", run());
    while (!pending->isDone)
        co_await pending->completed.wait(Deadline::never());
    reason = pending->reason;
    co_return pending->state;
}

void LedgerWriter::flush()
{
    if (m_queue.empty())
        return;
    m_hasUrgent = true;
    m_urgent.notifyAll();
}

void LedgerWriter::finish(PendingChange& pending, std::optional<GrantState> state, const Reason& reason)
{
    pending.isDone = true;
    pending.state = state;
    pending.reason = reason;
    if (!state && pending.mayBeWritten)
        pending.reason.kind = FailureKind::OutcomeUnknown;
    pending.completed.notifyAll();
}

// Fails the changes that are not retried: those that were definitely not written, and those past their deadline.
void LedgerWriter::failNonRetriable(Batch& batch, const Reason& reason)
{
    bool isConflict = reason.kind == FailureKind::Conflict;
    std::erase_if(batch, [this, &reason, isConflict](const std::shared_ptr<PendingChange>& pending) {
        if (!pending->deadline.hasPassed() && (isConflict || pending->mayBeWritten))
            return false;
        finish(*pending, std::nullopt, reason);
        return true;
    });
}

bool LedgerWriter::isCopyFresh() const
{
    return m_shard && Core::SteadyClock::now() - m_readAt <= std::chrono::milliseconds(m_settings.maxCopyAgeMs);
}

Core::Task<void> LedgerWriter::waitForBatch()
{
    Deadline deadline = Deadline::after(std::chrono::milliseconds(m_settings.batchWindowMs));
    while (!m_hasUrgent && !deadline.hasPassed())
        co_await m_urgent.wait(deadline);
}

Core::Task<void> LedgerWriter::run()
{
    while (!m_queue.empty()) {
        co_await waitForBatch();
        m_hasUrgent = false;
        Batch batch = std::exchange(m_queue, {});
        for (int attempts = 1; !batch.empty() && !co_await commit(batch); ++attempts)
            co_await Core::sleepUntil(Deadline::after(retryDelay(attempts)));
    }
    m_isRunning = false;
}

// Jittered, because conflicting writers would conflict again after equal delays.
std::chrono::milliseconds LedgerWriter::retryDelay(int attempts) const
{
    uint64_t maxJitterMs = static_cast<uint64_t>(m_settings.retryDelayMs) << std::min(attempts, maxDoublings);
    return std::chrono::milliseconds(m_settings.retryDelayMs + static_cast<int64_t>(Core::randomBelow(maxJitterMs)));
}

Core::Task<bool> LedgerWriter::read(Reason& reason)
{
    Core::SteadyClock::time_point askedAt = Core::SteadyClock::now();
    std::optional<Platform::Object> object
        = co_await m_store.get(m_name, Deadline::after(std::chrono::milliseconds(m_settings.storeTimeoutMs)), reason);
    if (!object && reason.kind != FailureKind::NotFound)
        co_return false;
    std::optional<LedgerShard> shard = object ? decodeShard(object->value, reason) : LedgerShard {};
    if (!shard)
        co_return false;
    m_shard = std::move(*shard);
    m_version = object ? object->version : 0;
    m_readAt = askedAt;
    co_return true;
}

Core::Task<bool> LedgerWriter::commit(Batch& batch)
{
    Reason reason;
    bool hasRead = !m_shard;
    if (!m_shard && !co_await read(reason)) {
        Core::logEvent(Events::ledgerUnavailable, "object=" + m_name + " changes=" + std::to_string(batch.size()) + " reason=\"" + reason.text() + "\"");
        failNonRetriable(batch, reason);
        co_return batch.empty();
    }
    LedgerShard next = *m_shard;
    std::vector<GrantState> states;
    bool hasRejection = false;
    bool isStale = false;
    for (const std::shared_ptr<PendingChange>& pending : batch) {
        states.push_back(next[pending->change.workspace].apply(pending->change));
        hasRejection = hasRejection || !states.back().isApplied;
        // The daemon changed its row through another writer after the copy was read.
        isStale = isStale || states.back().sequence + 1 < pending->change.sequence;
    }
    // A copy read in this call cannot be made fresher, however long the store took to answer.
    if (!hasRead && (isStale || (hasRejection && !isCopyFresh()))) {
        m_shard = std::nullopt;
        co_return co_await commit(batch);
    }
    if (next != *m_shard) {
        ++m_writes;
        std::optional<Platform::Version> version
            = co_await m_store.put(m_name, encodeShard(next), m_version, Deadline::after(std::chrono::milliseconds(m_settings.storeTimeoutMs)), reason);
        if (!version) {
            // Force a new read, which shows which changes have taken effect.
            m_shard = std::nullopt;
            bool mayBeWritten = reason.kind == FailureKind::OutcomeUnknown || reason.kind == FailureKind::TimedOut;
            for (const std::shared_ptr<PendingChange>& pending : batch)
                pending->mayBeWritten = pending->mayBeWritten || mayBeWritten;
            if (reason.kind != FailureKind::Conflict)
                Core::logEvent(Events::ledgerUnavailable, "object=" + m_name + " version=" + std::to_string(m_version) + " changes=" + std::to_string(batch.size()) + " reason=\"" + reason.text() + "\"");
            failNonRetriable(batch, reason);
            co_return batch.empty();
        }
        m_version = *version;
        m_shard = std::move(next);
        m_readAt = Core::SteadyClock::now();
    }
    for (size_t i = 0; i < batch.size(); ++i) {
        const GrantChange& change = batch[i]->change;
        if (states[i].isApplied)
            Core::logEvent(Events::grantChanged, "workspace=" + change.workspace + " host=" + change.host + " sequence=" + std::to_string(change.sequence) + " wanted=" + std::to_string(change.wanted) + " granted=" + std::to_string(states[i].granted) + " remaining=" + std::to_string(states[i].remaining) + " version=" + std::to_string(m_version));
        finish(*batch[i], states[i], {});
    }
    batch.clear();
    co_return true;
}

}
