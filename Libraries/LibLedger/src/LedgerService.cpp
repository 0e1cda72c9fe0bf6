#include "LibLedger/LedgerService.h"

namespace Ledger {

LedgerService::LedgerService(const boost::asio::any_io_executor& executor, Platform::ObjectStore store, uint32_t shardCount, Holder self, WriterSettings settings)
    : m_executor(executor)
    , m_store(std::move(store))
    , m_shardCount(shardCount)
    , m_self(std::move(self))
    , m_settings(std::move(settings))
{
}

Submit LedgerService::submit()
{
    return [this](uint32_t shard, std::vector<Entry> entries, Core::Deadline deadline, Core::Reason& reason) {
        return commit(shard, std::move(entries), deadline, reason);
    };
}

Core::Task<std::optional<std::vector<EntryResult>>> LedgerService::commit(uint32_t shard, std::vector<Entry> entries, Core::Deadline deadline, Core::Reason& reason)
{
    for (const Entry& entry : entries) {
        uint32_t owner = shardOf(budgetOf(entry), m_shardCount);
        if (owner == shard)
            continue;
        reason = { Core::FailureKind::Invalid, "commit ledger entries", "shard " + std::to_string(shard),
            "budget " + budgetOf(entry).text() + " belongs to shard " + std::to_string(owner) };
        co_return std::nullopt;
    }
    std::shared_ptr<ShardWriter> shardWriter = writer(shard);
    co_return co_await shardWriter->submit(std::move(entries), deadline, reason);
}

Core::Task<std::optional<LedgerAudit>> LedgerService::audit(uint32_t shard, Core::Deadline deadline, Core::Reason& reason)
{
    if (shard >= m_shardCount) {
        reason = { Core::FailureKind::Invalid, "audit ledger", "shard " + std::to_string(shard), "shard is out of range; the ledger has " + std::to_string(m_shardCount) + " shards" };
        co_return std::nullopt;
    }
    std::shared_ptr<ShardWriter> shardWriter = writer(shard);
    co_return co_await shardWriter->audit(deadline, reason);
}

std::shared_ptr<ShardWriter> LedgerService::writer(uint32_t shard)
{
    std::shared_ptr<ShardWriter>& found = m_writers[shard];
    if (!found)
        found = std::make_shared<ShardWriter>(m_executor, m_store, shard, m_self, m_settings);
    return found;
}

void LedgerService::closeIdleShards(Core::SteadyClock::time_point time)
{
    std::erase_if(m_writers, [time](const std::pair<const uint32_t, std::shared_ptr<ShardWriter>>& item) {
        return !item.second->isBusy() && item.second->lastUsed() < time;
    });
}

}
