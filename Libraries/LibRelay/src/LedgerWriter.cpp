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
    spawnRun();
    while (!pending->isDone)
        co_await pending->completed.wait(Deadline::never());
    reason = pending->reason;
    co_return pending->state;
}

void LedgerWriter::start(std::string host, std::function<std::set<std::string>()> announcedHosts)
{
    m_host = std::move(host);
    m_announcedHosts = std::move(announcedHosts);
    rebuild();
}

void LedgerWriter::rebuild()
{
    // start() looks at the shard in any case.
    if (!m_announcedHosts)
        return;
    m_isSynchronizing = true;
    spawnRun();
}

void LedgerWriter::spawnRun()
{
    if (!std::exchange(m_isRunning, true))
        Core::spawn(m_executor, "write ledger", run());
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
    while (!m_queue.empty() || m_isSynchronizing) {
        if (m_isSynchronizing && co_await synchronize())
            m_isSynchronizing = false;
        if (m_queue.empty()) {
            if (m_isSynchronizing)
                co_await Core::sleepUntil(Deadline::after(std::chrono::milliseconds(m_settings.rebuildIntervalMs)));
            continue;
        }
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
    if (!isIncomplete())
        remember();
    co_return true;
}

void LedgerWriter::remember()
{
    // A copy from before a restoration is kept until the shard contains it, also if the restored store has no shard.
    if (!m_known || m_known->version == 0 || (m_version != 0 && Platform::eraOf(m_known->version) == Platform::eraOf(m_version)))
        m_known = KnownShard { m_version, *m_shard };
}

Core::Task<bool> LedgerWriter::synchronize()
{
    Reason reason;
    if (!co_await read(reason))
        co_return false;
    uint64_t storeEra = Platform::eraOf(m_version);
    bool hasEarlierCopy = m_known && Platform::eraOf(m_known->version) < storeEra;
    bool isMissing = m_version == 0 && m_known && m_known->version != 0;
    if (!isIncomplete() && !hasEarlierCopy && !isMissing) {
        m_rebuildLimit = std::nullopt;
        co_return true;
    }
    LedgerShard next = *m_shard;
    if (m_known)
        next.merge(m_known->shard);
    if (isMissing) {
        // The copy is from before the first grant. The shard is rebuilt once its object shows the store's era.
        next.era = 0;
    } else if (isIncomplete()) {
        next.confirmed[m_host] = hasEarlierCopy;
        if (!m_rebuildLimit)
            m_rebuildLimit = Deadline::after(std::chrono::milliseconds(m_settings.rebuildLimitMs));
        std::set<std::string> hosts = m_announcedHosts();
        hosts.insert(m_host);
        if (next.isConfirmedBy(hosts) || m_rebuildLimit->hasPassed()) {
            bool isUncertain = next.finishRebuilding(storeEra, hosts);
            Core::logEvent(Events::ledgerRebuilt, "object=" + m_name + " era=" + std::to_string(storeEra) + " hosts=" + std::to_string(hosts.size()) + " remainder_closed=" + std::to_string(isUncertain));
        }
    }
    if (next != *m_shard) {
        ++m_writes;
        std::optional<Platform::Version> version
            = co_await m_store.put(m_name, encodeShard(next), m_version, Deadline::after(std::chrono::milliseconds(m_settings.storeTimeoutMs)), reason);
        m_shard = std::nullopt;
        if (!version) {
            co_await Core::sleepUntil(Deadline::after(retryDelay(1)));
            co_return false;
        }
        m_version = *version;
        m_shard = std::move(next);
    }
    if (isIncomplete())
        co_return false;
    m_rebuildLimit = std::nullopt;
    m_known = KnownShard { m_version, *m_shard };
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
    if (isIncomplete()) {
        rebuild();
        reason = { FailureKind::Unavailable, "change ledger", m_name, "the ledger is being rebuilt, since the store was restored from an older copy" };
        for (const std::shared_ptr<PendingChange>& pending : batch)
            finish(*pending, std::nullopt, reason);
        m_shard = std::nullopt;
        batch.clear();
        co_return true;
    }
    LedgerShard next = *m_shard;
    // Without an object, the daemons that ask for the first grants tell the store's era: they were announced in it.
    if (m_version == 0) {
        for (const std::shared_ptr<PendingChange>& pending : batch)
            next.era = std::max(next.era, Platform::eraOf(pending->change.incarnation));
    }
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
        remember();
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
