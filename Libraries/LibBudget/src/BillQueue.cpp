#include "LibBudget/BillQueue.h"

#include "BudgetEvents.h"
#include <algorithm>

namespace Budget {

BillQueue::BillQueue(const boost::asio::any_io_executor& executor, uint32_t shardCount, Ledger::Submit submit, BillSettings settings)
    : m_executor(executor)
    , m_shardCount(shardCount)
    , m_submit(std::move(submit))
    , m_settings(std::move(settings))
    , m_flushed(executor)
{
}

void BillQueue::add(Ledger::Usage bill)
{
    m_shards[Ledger::shardOf(bill.budget, m_shardCount)].bills.push_back(std::move(bill));
    ++m_pending;
}

Core::Task<void> BillQueue::run()
{
    while (!m_isStopped) {
        startFlushes();
        co_await Core::sleepUntil(Core::Deadline::after(m_settings.flushInterval));
    }
}

void BillQueue::startFlushes()
{
    for (std::pair<const uint32_t, ShardQueue>& item : m_shards) {
        if (item.second.isInFlight || item.second.bills.empty())
            continue;
        item.second.isInFlight = true;
        Core::spawn(m_executor, "bills of shard " + std::to_string(item.first), flush(item.first));
    }
}

Core::Task<void> BillQueue::flush(uint32_t shard)
{
    ShardQueue& queue = m_shards[shard];
    while (!queue.bills.empty()) {
        size_t count = std::min(queue.bills.size(), m_settings.maximumBatchSize);
        std::vector<Ledger::Entry> entries(queue.bills.begin(), queue.bills.begin() + static_cast<std::ptrdiff_t>(count));
        Core::Reason reason;
        std::optional<std::vector<Ledger::EntryResult>> results = co_await m_submit(shard, std::move(entries), Core::Deadline::after(m_settings.flushTimeout), reason);
        if (!results || results->size() != count) {
            m_lastFailure = reason;
            Core::logEvent(billsDelayed, "shard " + std::to_string(shard) + ", " + std::to_string(queue.bills.size()) + " bills retained: " + reason.text());
            break;
        }
        confirm(queue, *results);
        // Bills added during the submission wait for the next flush, unless this batch was full.
        if (count < m_settings.maximumBatchSize)
            break;
    }
    queue.isInFlight = false;
    m_flushed.notifyAll();
}

void BillQueue::confirm(ShardQueue& queue, const std::vector<Ledger::EntryResult>& results)
{
    std::vector<std::string> attemptIds;
    for (const Ledger::EntryResult& result : results) {
        const Ledger::Usage& bill = queue.bills.front();
        if (result.code != Ledger::ResultCode::Applied && result.code != Ledger::ResultCode::Duplicate) {
            Core::logEvent(billRefused, "attempt " + bill.attemptId + ", budget " + bill.budget.text() + ", " + std::to_string(bill.tokens) + " tokens");
            if (m_settings.onRefused)
                m_settings.onRefused(bill);
        }
        attemptIds.push_back(bill.attemptId);
        queue.bills.pop_front();
        --m_pending;
    }
    if (m_settings.onFlushed)
        m_settings.onFlushed(std::move(attemptIds));
}

Core::Task<bool> BillQueue::flushAll(Core::Deadline deadline, Core::Reason& reason)
{
    // Short, so that bills are still flushed if the store recovers just before the deadline.
    constexpr std::chrono::milliseconds retryInterval { 50 };
    while (m_pending > 0) {
        if (deadline.hasPassed()) {
            reason = { Core::FailureKind::TimedOut, "flush bills", "ledger", std::to_string(m_pending) + " bills not confirmed; last failure: " + m_lastFailure.text() };
            co_return false;
        }
        startFlushes();
        co_await m_flushed.wait(std::min(deadline, Core::Deadline::after(retryInterval)));
    }
    co_return true;
}

}
