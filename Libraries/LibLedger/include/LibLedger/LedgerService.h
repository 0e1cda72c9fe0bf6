#pragma once

#include "LibLedger/ShardWriter.h"
#include "LibLedger/Submitter.h"
#include <map>

namespace Ledger {

// The shards a daemon is currently writing. A shard is opened on its first entry and closed when idle.
class LedgerService {
public:
    LedgerService(const boost::asio::any_io_executor&, Platform::ObjectStore, uint32_t shardCount, Holder self, WriterSettings);

    // Returns a function that commits entries from this process. It must not outlive the service.
    Submit submit();
    // Fails with Invalid if an entry does not belong to the shard.
    Core::Task<std::optional<std::vector<EntryResult>>> commit(uint32_t shard, std::vector<Entry>, Core::Deadline, Core::Reason&);
    Core::Task<std::optional<LedgerAudit>> audit(uint32_t shard, Core::Deadline, Core::Reason&);

    // Closes shards that have not been used since the given time. The owner calls it periodically.
    void closeIdleShards(Core::SteadyClock::time_point);
    size_t openShardCount() const { return m_writers.size(); }
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
