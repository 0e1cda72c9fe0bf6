#include "LibWitness/Settler.h"

#include "Events.h"

namespace Witness {

// Keeps a submission below 100 kB.
static constexpr size_t submitBatchSize = 500;

Settler::Settler(RecordStore& store, Hooks hooks, SettlerSettings settings)
    : m_store(store)
    , m_hooks(std::move(hooks))
    , m_settings(settings)
{
}

// The deadline was received as a remaining time, so it is never earlier on this daemon than on the owner.
bool Settler::cannotForward(const Ledger::Holder& holder, Core::Deadline deadline) const
{
    return deadline.hasPassed() || m_hooks.ownerState(holder) == OwnerState::ConfirmedDead;
}

bool Settler::mayCancel(const StoredRecord& stored) const
{
    if (stored.record.usage || !cannotForward(stored.record.owner, stored.record.deadline))
        return false;
    return std::ranges::all_of(stored.joiners, [this](const Joiner& joiner) { return cannotForward(joiner.holder, joiner.deadline); });
}

bool Settler::isDueForSubmission(const StoredRecord& stored) const
{
    if (!stored.record.usage)
        return false;
    if (m_hooks.ownerState(stored.record.owner) != OwnerState::Alive)
        return true;
    return Core::SteadyClock::now() - stored.closedAt.at() >= m_settings.closedSubmitDelay;
}

std::vector<std::string> Settler::attemptsToCancel() const
{
    std::vector<std::string> attemptIds;
    m_store.forEach([this, &attemptIds](const StoredRecord& stored) {
        auto waiting = m_notFoundRechecks.find(stored.record.attemptId);
        if ((waiting == m_notFoundRechecks.end() || waiting->second.hasPassed()) && mayCancel(stored))
            attemptIds.push_back(stored.record.attemptId);
    });
    return attemptIds;
}

std::map<uint32_t, std::vector<Ledger::Entry>> Settler::usagesToSubmit(bool all) const
{
    std::map<uint32_t, std::vector<Ledger::Entry>> byShard;
    m_store.forEach([&](const StoredRecord& stored) {
        if (stored.record.usage && (all || isDueForSubmission(stored)))
            byShard[m_hooks.shardOf(stored.record.budget)].push_back(*stored.record.usage);
    });
    return byShard;
}

void Settler::scheduleRetry(Backoff& backoff) const
{
    backoff.delay = std::clamp(backoff.delay * 2, m_settings.initialRetryDelay, m_settings.maxRetryDelay);
    backoff.nextTry = Core::Deadline::after(backoff.delay);
}

Core::Task<void> Settler::runOnce()
{
    std::erase_if(m_notFoundRechecks, [this](const auto& entry) { return !m_store.findAttempt(entry.first); });
    for (const std::string& attemptId : attemptsToCancel())
        co_await settle(attemptId);
    for (auto& [shard, entries] : usagesToSubmit(false)) {
        if (m_shardBackoffs[shard].nextTry.hasPassed())
            co_await submitShard(shard, std::move(entries));
    }
}

Core::Task<void> Settler::settle(std::string attemptId)
{
    // Checked again: a joiner, or a close from the owner, may have arrived while earlier attempts were cancelled.
    std::optional<StoredRecord> stored = m_store.findAttempt(attemptId);
    if (!stored || !mayCancel(*stored))
        co_return;
    const Record& record = stored->record;
    if (!m_endpointBackoffs[record.endpoint].nextTry.hasPassed())
        co_return;
    Core::Reason reason;
    std::optional<Ledger::Tokens> tokens = co_await m_hooks.cancelStream(
        record.endpoint, record.streamId, Core::Deadline::after(m_settings.cancelTimeout), reason);
    if (tokens) {
        m_endpointBackoffs.erase(record.endpoint);
        closeSettled(record, *tokens);
        co_return;
    }
    if (reason.kind != Core::FailureKind::NotFound) {
        Core::logEvent(cancelFailed, "attempt " + attemptId + ": " + reason.text());
        scheduleRetry(m_endpointBackoffs[record.endpoint]);
        co_return;
    }
    m_endpointBackoffs.erase(record.endpoint);
    if (m_notFoundRechecks.try_emplace(attemptId, Core::Deadline::after(m_settings.notFoundRecheckDelay)).second)
        co_return;
    // Either the owner ended before dispatching the attempt, or the endpoint has lost its streams. No count is available.
    Core::logEvent(streamNotFound, "attempt " + attemptId + ": stream unknown to " + record.endpoint + ", billing 0 tokens");
    closeSettled(record, 0);
}

void Settler::closeSettled(const Record& record, Ledger::Tokens tokens)
{
    Ledger::Usage usage { record.attemptId, record.requestId, record.budget, record.owner, tokens,
        Ledger::UsageKind::BrokenOff, m_hooks.now() };
    m_store.close(record.attemptId, usage);
    m_notFoundRechecks.erase(record.attemptId);
    Core::logEvent(attemptSettled, "attempt " + record.attemptId + " of " + record.owner.text() + ": " + std::to_string(tokens) + " tokens");
}

Core::Task<void> Settler::submitShard(uint32_t shard, std::vector<Ledger::Entry> entries)
{
    bool areAllDurable = true;
    for (size_t start = 0; start < entries.size(); start += submitBatchSize) {
        size_t end = std::min(start + submitBatchSize, entries.size());
        std::vector<Ledger::Entry> batch(entries.begin() + static_cast<ptrdiff_t>(start), entries.begin() + static_cast<ptrdiff_t>(end));
        Core::Reason reason;
        std::optional<std::vector<Ledger::EntryResult>> results = co_await m_hooks.submit(
            shard, batch, Core::Deadline::after(m_settings.submitTimeout), reason);
        if (!results || results->size() != batch.size()) {
            Core::logEvent(submitFailed, std::to_string(batch.size()) + " usages of shard " + std::to_string(shard) + ": " + reason.text());
            scheduleRetry(m_shardBackoffs[shard]);
            co_return;
        }
        // Continue with later batches even if the ledger cannot apply some entries yet.
        areAllDurable &= markDurableFlushed(batch, *results);
    }
    if (areAllDurable)
        m_shardBackoffs.erase(shard);
    else
        scheduleRetry(m_shardBackoffs[shard]);
}

// Marks the entries that are in the ledger as flushed. Returns false if others must be submitted again.
bool Settler::markDurableFlushed(const std::vector<Ledger::Entry>& entries, const std::vector<Ledger::EntryResult>& results)
{
    bool areAllDurable = true;
    std::vector<std::string> attemptIds;
    for (size_t i = 0; i < entries.size(); ++i) {
        const Ledger::Usage& usage = std::get<Ledger::Usage>(entries[i]);
        switch (results[i].code) {
        case Ledger::ResultCode::Applied:
        case Ledger::ResultCode::Duplicate:
            attemptIds.push_back(usage.attemptId);
            break;
        case Ledger::ResultCode::Rejected:
            // The rejection is permanent, e.g. because the attempt id has expired, so the entry is not submitted again.
            Core::logEvent(usageRejected, "attempt " + usage.attemptId + " of budget " + usage.budget.text() + ": " + std::to_string(usage.tokens) + " tokens");
            attemptIds.push_back(usage.attemptId);
            break;
        default:
            areAllDurable = false;
            break;
        }
    }
    m_store.markFlushed(attemptIds);
    return areAllDurable;
}

Core::Task<bool> Settler::submitAll()
{
    for (auto& [shard, entries] : usagesToSubmit(true))
        co_await submitShard(shard, std::move(entries));
    co_return usagesToSubmit(true).empty();
}

Core::Task<void> Settler::run()
{
    while (!m_isStopped) {
        co_await Core::sleepUntil(Core::Deadline::after(m_settings.interval));
        m_store.removeExpired();
        if (!m_isStopped)
            co_await runOnce();
    }
}

}
