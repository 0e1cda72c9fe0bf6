#include "LibRouting/AdmissionQueue.h"

namespace Routing {

AdmissionQueue::AdmissionQueue(const boost::asio::any_io_executor& executor, WaitingListSettings settings)
    : m_executor(executor)
    , m_list(settings)
{
}

Core::Task<bool> AdmissionQueue::admit(int priority, Core::Deadline deadline, TakeCapacity takeCapacity, Core::Reason& reason)
{
    std::optional<Waiter> first = m_list.first();
    bool hasPrecedence = !first || first->priority < priority;
    if (hasPrecedence && !deadline.hasPassed() && takeCapacity())
        co_return true;
    Waiter waiter { ++m_lastId, priority, deadline };
    std::shared_ptr<Entry> entry = std::make_shared<Entry>(m_executor);
    entry->takeCapacity = std::move(takeCapacity);
    m_entries[waiter.id] = entry;
    refuse(m_list.add(waiter, Core::SteadyClock::now()));
    if (entry->verdict == Verdict::Waiting)
        co_await entry->decided.wait(deadline);
    m_entries.erase(waiter.id);
    if (entry->verdict == Verdict::Admitted)
        co_return true;
    if (entry->verdict == Verdict::Refused) {
        reason = { Core::FailureKind::Refused, "queue", "", "the queue is full or the deadline cannot be met; " + std::to_string(m_list.size()) + " requests wait" };
        co_return false;
    }
    m_list.remove(waiter);
    reason = { Core::FailureKind::TimedOut, "queue", "", "the deadline passed while the request waited" };
    co_return false;
}

void AdmissionQueue::capacityChanged()
{
    refuse(m_list.takeHopeless(Core::SteadyClock::now()));
    std::optional<Waiter> first = m_list.first();
    while (first && m_entries.at(first->id)->takeCapacity()) {
        m_list.admitFirst(Core::SteadyClock::now());
        decide(*first, Verdict::Admitted);
        first = m_list.first();
    }
}

void AdmissionQueue::decide(const Waiter& waiter, Verdict verdict)
{
    const std::shared_ptr<Entry>& entry = m_entries.at(waiter.id);
    entry->verdict = verdict;
    entry->decided.notifyAll();
}

void AdmissionQueue::refuse(const std::vector<Waiter>& waiters)
{
    for (const Waiter& waiter : waiters)
        decide(waiter, Verdict::Refused);
}

}
