#include "LibRouting/AdmissionQueue.h"

namespace Routing {

AdmissionQueue::AdmissionQueue(const boost::asio::any_io_executor& executor, WaitingListSettings settings)
    : m_executor(executor)
    , m_list(settings)
{
}

Core::Task<bool> AdmissionQueue::admit(int priority, Core::Deadline deadline, TryAcquireCapacity tryAcquireCapacity, Core::Reason& reason)
{
    std::optional<Waiter> first = m_list.first();
    bool hasPrecedence = !first || first->priority < priority;
    if (hasPrecedence && !deadline.hasPassed() && tryAcquireCapacity())
        co_return true;
    Waiter waiter { ++m_lastId, priority, deadline };
    std::shared_ptr<Entry> entry = std::make_shared<Entry>(m_executor);
    entry->tryAcquireCapacity = std::move(tryAcquireCapacity);
    m_entries[waiter.id] = entry;
    refuse(m_list.add(waiter, Core::SteadyClock::now()));
    if (entry->decision == Decision::Waiting)
        co_await entry->decided.wait(deadline);
    m_entries.erase(waiter.id);
    if (entry->decision == Decision::Admitted)
        co_return true;
    if (entry->decision == Decision::Refused) {
        reason = { Core::FailureKind::Refused, "queue", "", "the queue is full or the deadline cannot be met; " + std::to_string(m_list.size()) + " requests are queued" };
        co_return false;
    }
    m_list.remove(waiter);
    reason = { Core::FailureKind::TimedOut, "queue", "", "the deadline passed while the request was queued" };
    co_return false;
}

void AdmissionQueue::capacityChanged()
{
    refuse(m_list.removeInfeasible(Core::SteadyClock::now()));
    std::optional<Waiter> first = m_list.first();
    while (first && m_entries.at(first->id)->tryAcquireCapacity()) {
        m_list.admitFirst(Core::SteadyClock::now());
        decide(*first, Decision::Admitted);
        first = m_list.first();
    }
}

void AdmissionQueue::decide(const Waiter& waiter, Decision decision)
{
    const std::shared_ptr<Entry>& entry = m_entries.at(waiter.id);
    entry->decision = decision;
    entry->decided.notifyAll();
}

void AdmissionQueue::refuse(const std::vector<Waiter>& waiters)
{
    for (const Waiter& waiter : waiters)
        decide(waiter, Decision::Refused);
}

}
