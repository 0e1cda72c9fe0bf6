#include "LibWitness/Settler.h"

#include "Events.h"

namespace Witness {

// Entries of one submission: at most 100 kB.
static constexpr size_t submitBatch = 500;

Settler::Settler(RecordStore& store, Hooks hooks, SettlerLimits limits)
    : m_store(store)
    , m_hooks(std::move(hooks))
    , m_limits(limits)
{
}

// The deadline was received as remaining time, so that it is never earlier here than at the owner.
bool Settler::isFinished(const Ledger::Holder& holder, Core::Deadline deadline) const
{
    return deadline.hasPassed() || m_hooks.ownerState(holder) == OwnerState::ProvedDead;
}

bool Settler::mayCancel(const KeptRecord& kept) const
{
    if (kept.record.usage || !isFinished(kept.record.owner, kept.record.deadline))
        return false;
    return std::ranges::all_of(kept.joiners, [this](const Joiner& joiner) { return isFinished(joiner.holder, joiner.deadline); });
}

bool Settler::isDueForSubmission(const KeptRecord& kept) const
{
    if (!kept.record.usage)
        return false;
    if (m_hooks.ownerState(kept.record.owner) != OwnerState::Present)
        return true;
    return Core::SteadyClock::now() - kept.closedAt.at() >= m_limits.closedGrace;
}

std::vector<std::string> Settler::attemptsToCancel() const
{
    std::vector<std::string> attemptIds;
    m_store.forEach([this, &attemptIds](const KeptRecord& kept) {
        auto waiting = m_notFound.find(kept.record.attemptId);
        if ((waiting == m_notFound.end() || waiting->second.hasPassed()) && mayCancel(kept))
            attemptIds.push_back(kept.record.attemptId);
    });
    return attemptIds;
}

std::map<uint32_t, std::vector<Ledger::Entry>> Settler::usagesToSubmit(bool all) const
{
    std::map<uint32_t, std::vector<Ledger::Entry>> byShard;
    m_store.forEach([&](const KeptRecord& kept) {
        if (kept.record.usage && (all || isDueForSubmission(kept)))
            byShard[m_hooks.shardOf(kept.record.budget)].push_back(*kept.record.usage);
    });
    return byShard;
}

void Settler::postpone(Backoff& backoff) const
{
    backoff.delay = std::clamp(backoff.delay * 2, m_limits.firstRetryDelay, m_limits.lastRetryDelay);
    backoff.nextTry = Core::Deadline::after(backoff.delay);
}

Core::Task<void> Settler::runOnce()
{
    std::erase_if(m_notFound, [this](const auto& entry) { return !m_store.findAttempt(entry.first); });
    for (const std::string& attemptId : attemptsToCancel())
        co_await settle(attemptId);
    for (auto& [shard, entries] : usagesToSubmit(false)) {
        if (m_shards[shard].nextTry.hasPassed())
            co_await submitShard(shard, std::move(entries));
    }
}

Core::Task<void> Settler::settle(std::string attemptId)
{
    // Looked at again, since a joiner or the owner's close may have arrived while earlier attempts were settled.
    std::optional<KeptRecord> kept = m_store.findAttempt(attemptId);
    if (!kept || !mayCancel(*kept))
        co_return;
    const Record& record = kept->record;
    if (!m_endpoints[record.endpoint].nextTry.hasPassed())
        co_return;
    Core::Reason reason;
    std::optional<Ledger::Tokens> tokens = co_await m_hooks.cancelStream(
        record.endpoint, record.streamId, Core::Deadline::after(m_limits.cancelLimit), reason);
    if (tokens) {
        m_endpoints.erase(record.endpoint);
        closeSettled(record, *tokens);
        co_return;
    }
    if (reason.kind != Core::FailureKind::NotFound) {
        Core::logEvent(cancelFailed, "attempt " + attemptId + ": " + reason.text());
        postpone(m_endpoints[record.endpoint]);
        co_return;
    }
    m_endpoints.erase(record.endpoint);
    if (m_notFound.try_emplace(attemptId, Core::Deadline::after(m_limits.notFoundConfirmation)).second)
        co_return;
    // The owner ended before it dispatched the attempt, or the endpoint has lost its streams: it counted nothing.
    Core::logEvent(streamNotFound, "attempt " + attemptId + " at " + record.endpoint + " is billed with 0 tokens");
    closeSettled(record, 0);
}

void Settler::closeSettled(const Record& record, Ledger::Tokens tokens)
{
    Ledger::Usage usage { record.attemptId, record.requestId, record.budget, record.owner, tokens,
        Ledger::UsageKind::BrokenOff, m_hooks.now() };
    m_store.close(record.attemptId, usage);
    m_notFound.erase(record.attemptId);
    Core::logEvent(attemptSettled, "attempt " + record.attemptId + " of " + record.owner.text() + ": " + std::to_string(tokens) + " tokens");
}

Core::Task<void> Settler::submitShard(uint32_t shard, std::vector<Ledger::Entry> entries)
{
    bool areAllDurable = true;
    for (size_t start = 0; start < entries.size(); start += submitBatch) {
        size_t end = std::min(start + submitBatch, entries.size());
        std::vector<Ledger::Entry> batch(entries.begin() + static_cast<ptrdiff_t>(start), entries.begin() + static_cast<ptrdiff_t>(end));
        Core::Reason reason;
        std::optional<std::vector<Ledger::EntryResult>> results = co_await m_hooks.submit(
            shard, batch, Core::Deadline::after(m_limits.submitLimit), reason);
        if (!results || results->size() != batch.size()) {
            Core::logEvent(submitFailed, std::to_string(batch.size()) + " usages of shard " + std::to_string(shard) + ": " + reason.text());
            postpone(m_shards[shard]);
            co_return;
        }
        // Entries that the ledger cannot apply yet must not hold up later batches.
        areAllDurable &= dropDurable(batch, *results);
    }
    if (areAllDurable)
        m_shards.erase(shard);
    else
        postpone(m_shards[shard]);
}

// Drops the records whose usage the ledger holds; false when some must be submitted again.
bool Settler::dropDurable(const std::vector<Ledger::Entry>& entries, const std::vector<Ledger::EntryResult>& results)
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
            // The ledger will never apply it, for example because the identity has expired.
            Core::logEvent(usageRejected, "attempt " + usage.attemptId + " of budget " + usage.budget.text() + ": " + std::to_string(usage.tokens) + " tokens");
            attemptIds.push_back(usage.attemptId);
            break;
        default:
            areAllDurable = false;
            break;
        }
    }
    m_store.flushed(attemptIds);
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
        co_await Core::sleepUntil(Core::Deadline::after(m_limits.interval));
        m_store.dropExpired();
        if (!m_isStopped)
            co_await runOnce();
    }
}

}
