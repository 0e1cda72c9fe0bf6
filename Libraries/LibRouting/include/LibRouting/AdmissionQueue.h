#pragma once

#include "LibCore/Async.h"
#include "LibCore/Reason.h"
#include "LibRouting/WaitingList.h"
#include <functional>
#include <map>
#include <memory>

namespace Routing {

// Queues requests by priority until there is capacity, and refuses those that cannot meet their deadlines.
class AdmissionQueue {
public:
    // Tries to allocate capacity for one request, for example by choosing an endpoint with a free slot.
    using TryAcquireCapacity = std::function<bool()>;

    AdmissionQueue(const boost::asio::any_io_executor&, WaitingListSettings);

    // Waits until tryAcquireCapacity succeeds. Fails with Refused if the queue is full or the deadline cannot be met, and
    // with TimedOut if the deadline has passed. No capacity is allocated on failure.
    Core::Task<bool> admit(int priority, Core::Deadline, TryAcquireCapacity, Core::Reason&);

    // Must be called whenever capacity may have become available.
    void capacityChanged();

    size_t waiting() const { return m_list.size(); }

private:
    enum class Decision {
        Waiting,
        Admitted,
        Refused,
    };

    struct Entry {
        explicit Entry(const boost::asio::any_io_executor& executor)
            : decided(executor)
        {
        }
        TryAcquireCapacity tryAcquireCapacity;
        Core::Signal decided;
        Decision decision { Decision::Waiting };
    };

    void decide(const Waiter&, Decision);
    void refuse(const std::vector<Waiter>&);

    boost::asio::any_io_executor m_executor;
    WaitingList m_list;
    std::map<uint64_t, std::shared_ptr<Entry>> m_entries;
    uint64_t m_lastId { 0 };
};

}
