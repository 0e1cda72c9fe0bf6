#include "LibWitness/RecordStore.h"

namespace Witness {

// Memory used by a record in addition to its strings: the value, two map nodes, a usage and a joiner.
static constexpr size_t recordOverheadBytes = 768;

static size_t estimatedBytes(const Record& record)
{
    // Ids are stored in the record, in its usage and in the indexes.
    return recordOverheadBytes + 3 * record.attemptId.size() + 3 * record.requestId.size() + 2 * record.budget.workspace.size()
        + 2 * record.budget.budget.size() + 2 * record.owner.host.size() + record.endpoint.size() + record.streamId.size();
}

RecordStore::RecordStore(size_t maxBytes)
    : m_maxBytes(maxBytes)
{
}

RecordOpenResult RecordStore::open(const Record& record, bool joinExisting, const Ledger::Holder& caller)
{
    auto sameAttempt = m_records.find(record.attemptId);
    if (sameAttempt != m_records.end()) {
        if (record.usage)
            close(record.attemptId, *record.usage);
        if (caller != record.owner)
            join(record.attemptId, { caller, record.deadline });
        return { OpenStatus::Stored, std::nullopt };
    }
    auto earlierAttempts = m_attemptIdsByRequest.find(record.requestId);
    if (joinExisting && earlierAttempts != m_attemptIdsByRequest.end()) {
        std::string attemptId = earlierAttempts->second.front();
        join(attemptId, { caller, record.deadline });
        return { OpenStatus::Existing, m_records.at(attemptId).record };
    }
    if (m_isDraining)
        return { OpenStatus::Draining, std::nullopt };
    size_t bytes = estimatedBytes(record);
    while (m_byteCount + bytes > m_maxBytes && !m_retained.empty())
        removeOldestRetained();
    if (m_byteCount + bytes > m_maxBytes)
        return { OpenStatus::Full, std::nullopt };
    m_byteCount += bytes;
    StoredRecord stored { record, {}, record.usage ? Core::Deadline(Core::SteadyClock::now()) : Core::Deadline::never(), std::nullopt };
    m_records.emplace(record.attemptId, std::move(stored));
    m_attemptIdsByRequest[record.requestId].push_back(record.attemptId);
    if (caller != record.owner)
        join(record.attemptId, { caller, record.deadline });
    return { OpenStatus::Stored, std::nullopt };
}

std::optional<Ledger::Usage> RecordStore::close(const std::string& attemptId, const Ledger::Usage& usage)
{
    auto position = m_records.find(attemptId);
    if (position == m_records.end())
        return std::nullopt;
    StoredRecord& stored = position->second;
    if (!stored.record.usage) {
        stored.record.usage = usage;
        stored.closedAt = Core::Deadline(Core::SteadyClock::now());
    }
    return stored.record.usage;
}

void RecordStore::markFlushed(const std::vector<std::string>& attemptIds)
{
    for (const std::string& attemptId : attemptIds) {
        auto position = m_records.find(attemptId);
        if (position == m_records.end() || position->second.expiresAt)
            continue;
        if (!position->second.record.usage) {
            erase(attemptId);
            continue;
        }
        position->second.expiresAt = Core::Deadline::after(retentionPeriod);
        m_retained.push_back(attemptId);
    }
    removeExpired();
}

void RecordStore::removeExpired()
{
    while (!m_retained.empty() && m_records.at(m_retained.front()).expiresAt->hasPassed())
        removeOldestRetained();
}

void RecordStore::removeOldestRetained()
{
    erase(m_retained.front());
    m_retained.pop_front();
}

void RecordStore::erase(const std::string& attemptId)
{
    auto position = m_records.find(attemptId);
    m_byteCount -= estimatedBytes(position->second.record);
    auto attempts = m_attemptIdsByRequest.find(position->second.record.requestId);
    std::erase(attempts->second, attemptId);
    if (attempts->second.empty())
        m_attemptIdsByRequest.erase(attempts);
    m_records.erase(position);
}

std::optional<StoredRecord> RecordStore::findAttempt(const std::string& attemptId) const
{
    auto position = m_records.find(attemptId);
    if (position == m_records.end())
        return std::nullopt;
    return position->second;
}

std::optional<StoredRecord> RecordStore::findRequest(const std::string& requestId) const
{
    auto position = m_attemptIdsByRequest.find(requestId);
    if (position == m_attemptIdsByRequest.end())
        return std::nullopt;
    return findAttempt(position->second.front());
}

void RecordStore::join(const std::string& attemptId, const Joiner& joiner)
{
    auto position = m_records.find(attemptId);
    if (position == m_records.end())
        return;
    for (Joiner& known : position->second.joiners) {
        if (known.holder != joiner.holder)
            continue;
        known.deadline = std::max(known.deadline, joiner.deadline);
        return;
    }
    position->second.joiners.push_back(joiner);
}

std::vector<Record> RecordStore::recordsOf(const Ledger::Holder& holder) const
{
    std::vector<Record> records;
    for (const auto& [attemptId, stored] : m_records) {
        if (stored.record.owner == holder && !stored.expiresAt)
            records.push_back(stored.record);
    }
    return records;
}

void RecordStore::forEach(const std::function<void(const StoredRecord&)>& visitor) const
{
    for (const auto& [attemptId, stored] : m_records) {
        if (!stored.expiresAt)
            visitor(stored);
    }
}

}
