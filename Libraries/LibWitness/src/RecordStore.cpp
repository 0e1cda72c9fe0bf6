#include "LibWitness/RecordStore.h"

namespace Witness {

// Memory of a record besides its strings: the value, two map nodes, a usage and a joiner.
static constexpr size_t fixedRecordBytes = 768;

static size_t bytesOf(const Record& record)
{
    // Identities are kept in the record, its usage and two indexes.
    return fixedRecordBytes + 3 * record.attemptId.size() + 3 * record.requestId.size() + 2 * record.budget.workspace.size()
        + 2 * record.budget.budget.size() + 2 * record.owner.host.size() + record.endpoint.size() + record.streamId.size();
}

RecordStore::RecordStore(size_t maxBytes)
    : m_maxBytes(maxBytes)
{
}

OpenAnswer RecordStore::open(const Record& record, bool joins, const Ledger::Holder& from)
{
    auto same = m_records.find(record.attemptId);
    if (same != m_records.end()) {
        if (record.usage)
            close(record.attemptId, *record.usage);
        if (from != record.owner)
            join(record.attemptId, { from, record.deadline });
        return { OpenStatus::Stored, std::nullopt };
    }
    auto earlier = m_attempts.find(record.requestId);
    if (joins && earlier != m_attempts.end()) {
        std::string attemptId = earlier->second.front();
        join(attemptId, { from, record.deadline });
        return { OpenStatus::Existing, m_records.at(attemptId).record };
    }
    if (m_isDraining)
        return { OpenStatus::Draining, std::nullopt };
    size_t bytes = bytesOf(record);
    while (m_bytes + bytes > m_maxBytes && !m_retained.empty())
        dropOldestRetained();
    if (m_bytes + bytes > m_maxBytes)
        return { OpenStatus::Full, std::nullopt };
    m_bytes += bytes;
    KeptRecord kept { record, {}, record.usage ? Core::Deadline(Core::SteadyClock::now()) : Core::Deadline::never(), std::nullopt };
    m_records.emplace(record.attemptId, std::move(kept));
    m_attempts[record.requestId].push_back(record.attemptId);
    if (from != record.owner)
        join(record.attemptId, { from, record.deadline });
    return { OpenStatus::Stored, std::nullopt };
}

std::optional<Ledger::Usage> RecordStore::close(const std::string& attemptId, const Ledger::Usage& usage)
{
    auto position = m_records.find(attemptId);
    if (position == m_records.end())
        return std::nullopt;
    KeptRecord& kept = position->second;
    if (!kept.record.usage) {
        kept.record.usage = usage;
        kept.closedAt = Core::Deadline(Core::SteadyClock::now());
    }
    return kept.record.usage;
}

void RecordStore::flushed(const std::vector<std::string>& attemptIds)
{
    for (const std::string& attemptId : attemptIds) {
        auto position = m_records.find(attemptId);
        if (position == m_records.end() || position->second.dropAt)
            continue;
        if (!position->second.record.usage) {
            erase(attemptId);
            continue;
        }
        position->second.dropAt = Core::Deadline::after(retention);
        m_retained.push_back(attemptId);
    }
    dropExpired();
}

void RecordStore::dropExpired()
{
    while (!m_retained.empty() && m_records.at(m_retained.front()).dropAt->hasPassed())
        dropOldestRetained();
}

void RecordStore::dropOldestRetained()
{
    erase(m_retained.front());
    m_retained.pop_front();
}

void RecordStore::erase(const std::string& attemptId)
{
    auto position = m_records.find(attemptId);
    m_bytes -= bytesOf(position->second.record);
    auto attempts = m_attempts.find(position->second.record.requestId);
    std::erase(attempts->second, attemptId);
    if (attempts->second.empty())
        m_attempts.erase(attempts);
    m_records.erase(position);
}

std::optional<KeptRecord> RecordStore::findAttempt(const std::string& attemptId) const
{
    auto position = m_records.find(attemptId);
    if (position == m_records.end())
        return std::nullopt;
    return position->second;
}

std::optional<KeptRecord> RecordStore::findRequest(const std::string& requestId) const
{
    auto position = m_attempts.find(requestId);
    if (position == m_attempts.end())
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
    for (const auto& [attemptId, kept] : m_records) {
        if (kept.record.owner == holder && !kept.dropAt)
            records.push_back(kept.record);
    }
    return records;
}

void RecordStore::forEach(const std::function<void(const KeptRecord&)>& visit) const
{
    for (const auto& [attemptId, kept] : m_records) {
        if (!kept.dropAt)
            visit(kept);
    }
}

}
