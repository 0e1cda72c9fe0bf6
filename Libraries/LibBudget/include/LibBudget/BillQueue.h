#pragma once

#include "LibCore/Async.h"
#include "LibCore/Reason.h"
#include "LibLedger/Submitter.h"
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Budget {

struct BillSettings {
    std::chrono::milliseconds flushInterval { 1000 };
    std::chrono::milliseconds flushTimeout { 8000 };
    // Maximum number of bills in one submission to the ledger.
    size_t maximumBatchSize { 2000 };
    // Called with the attempts whose bills are durable or refused, so that copies of them can be removed.
    std::function<void(std::vector<std::string> attemptIds)> onFlushed;
    // Called for a bill that the ledger has refused. It is not submitted again.
    std::function<void(const Ledger::Usage&)> onRefused;
};

// Queue of bills of finished attempts for submission to the ledger. A bill stays in the queue until the ledger has
// confirmed or refused it. Must outlive the tasks it starts, that is, the run of the event loop.
class BillQueue {
public:
    BillQueue(const boost::asio::any_io_executor&, uint32_t shardCount, Ledger::Submit, BillSettings);
    BillQueue(const BillQueue&) = delete;
    BillQueue& operator=(const BillQueue&) = delete;

    void add(Ledger::Usage);
    // Flushes bills in batches until stop is called.
    Core::Task<void> run();
    void stop() { m_isStopped = true; }
    // Flushes all bills, for a graceful shutdown. Returns false if bills remain at the deadline.
    Core::Task<bool> flushAll(Core::Deadline, Core::Reason&);
    // Number of bills that the ledger has not confirmed or refused.
    size_t pending() const { return m_pending; }

private:
    struct ShardQueue {
        std::deque<Ledger::Usage> bills;
        bool isInFlight { false };
    };

    void startFlushes();
    Core::Task<void> flush(uint32_t shard);
    void confirm(ShardQueue&, const std::vector<Ledger::EntryResult>&);

    boost::asio::any_io_executor m_executor;
    uint32_t m_shardCount;
    Ledger::Submit m_submit;
    BillSettings m_settings;
    std::map<uint32_t, ShardQueue> m_shards;
    size_t m_pending { 0 };
    bool m_isStopped { false };
    Core::Signal m_flushed;
    Core::Reason m_lastFailure;
};

}
