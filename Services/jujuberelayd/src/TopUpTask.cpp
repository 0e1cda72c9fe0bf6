#include "TopUpTask.h"

#include <map>

// Interval at which missing top-ups are resubmitted, since this daemon may have become the writer of further shards.
static constexpr std::chrono::milliseconds resubmitInterval(1000);
static constexpr std::chrono::milliseconds submitTimeout(4000);

TopUpTask::TopUpTask(const boost::asio::any_io_executor& executor, LedgerGateway& gateway, uint32_t shardCount, StateProvider intendedState)
    : m_gateway(gateway)
    , m_shardCount(shardCount)
    , m_intendedState(std::move(intendedState))
    , m_changed(executor)
{
}

void TopUpTask::stop()
{
    m_isStopped = true;
    m_changed.notifyAll();
}

Core::Task<void> TopUpTask::run()
{
    while (!m_isStopped) {
        std::shared_ptr<const Intent::FleetState> state = m_intendedState();
        if (state)
            co_await submitMissing(std::move(state));
        if (!m_isStopped)
            co_await m_changed.wait(Core::Deadline::after(resubmitInterval));
    }
}

Core::Task<void> TopUpTask::submitMissing(std::shared_ptr<const Intent::FleetState> state)
{
    std::map<uint32_t, std::vector<Ledger::Entry>> entries;
    m_pending = 0;
    for (const std::pair<const std::string, Intent::TopUp>& item : state->topUps) {
        const Intent::TopUp& topUp = item.second;
        if (m_confirmed.contains(topUp.id))
            continue;
        Ledger::TopUp entry { { topUp.workspace, topUp.budget }, topUp.id, topUp.tokens };
        uint32_t shard = Ledger::shardOf(entry.budget, m_shardCount);
        if (!m_gateway.isWriter(shard))
            continue;
        entries[shard].push_back(std::move(entry));
        ++m_pending;
    }
    for (const std::pair<const uint32_t, std::vector<Ledger::Entry>>& shard : entries) {
        Core::Reason reason;
        std::optional<std::vector<Ledger::EntryResult>> results
            = co_await m_gateway.submit(shard.first, shard.second, Core::Deadline::after(submitTimeout), reason);
        for (size_t i = 0; results && i < results->size(); ++i) {
            Ledger::ResultCode code = (*results)[i].code;
            if (code != Ledger::ResultCode::Applied && code != Ledger::ResultCode::Duplicate)
                continue;
            m_confirmed.insert(std::get<Ledger::TopUp>(shard.second[i]).topUpId);
            --m_pending;
        }
    }
}
