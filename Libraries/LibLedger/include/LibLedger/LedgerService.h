#pragma once

#include "LibLedger/ShardWriter.h"
#include "LibLedger/Submitter.h"
#include <map>

namespace Ledger {

// The shards that one daemon writes at the moment. A shard is opened at its first entry and dropped when idle.
class LedgerService {
public:
    LedgerService(const boost::asio::any_io_executor&, Platform::ObjectStore, uint32_t shardCount, Holder self, WriterSettings);

    // Commits the entries in the platform from this process. The function must not outlive the service.
    Submit submit();
    // Fails with Invalid when an entry doesn't belong to the shard.
    Core::Task<std::optional<std::vector<EntryResult>>> commit(uint32_t shard, std::vector<Entry>, Core::Deadline, Core::Reason&);
    Core::Task<std::optional<LedgerAudit>> audit(uint32_t shard, Core::Deadline, Core::Reason&);

    // Drops the shards that were not used since the time; called by the owner from time to time.
    void dropIdleSince(Core::SteadyClock::time_point);
    size_t openShards() const { return m_writers.size(); }
    uint32_t shardCount() const { return m_shardCount; }

private:
    std::shared_ptr<ShardWriter> writer(uint32_t shard);

    boost::asio::any_io_executor m_executor;
    Platform::ObjectStore m_store;
    uint32_t m_shardCount;
    Holder m_self;
    WriterSettings m_settings;
    std::map<uint32_t, std::shared_ptr<ShardWriter>> m_writers;
};

}
