#pragma once

#include "LibCore/Async.h"
#include "LibCore/Reason.h"
#include "LibRouting/WaitingList.h"
#include <functional>
#include <map>
#include <memory>

namespace Routing {

// Lets requests wait for capacity by priority, and refuses those that cannot meet their deadlines.
class AdmissionQueue {
public:
    // Tries to take capacity for one request, for example by choosing an endpoint with a free slot.
    using TakeCapacity = std::function<bool()>;

    AdmissionQueue(const boost::asio::any_io_executor&, WaitingListSettings);

    // Waits until takeCapacity succeeds. Fails with Refused when the list is full or the deadline cannot be met, and with
    // TimedOut when it has passed; nothing was taken then.
    Core::Task<bool> admit(int priority, Core::Deadline, TakeCapacity, Core::Reason&);

    // To be called whenever capacity may have become free.
    void capacityChanged();

    size_t waiting() const { return m_list.size(); }

private:
    enum class Verdict {
        Waiting,
        Admitted,
        Refused,
    };

    struct Entry {
        explicit Entry(const boost::asio::any_io_executor& executor)
            : decided(executor)
        {
        }
        TakeCapacity takeCapacity;
        Core::Signal decided;
        Verdict verdict { Verdict::Waiting };
    };

    void decide(const Waiter&, Verdict);
    void refuse(const std::vector<Waiter>&);

    boost::asio::any_io_executor m_executor;
    WaitingList m_list;
    std::map<uint64_t, std::shared_ptr<Entry>> m_entries;
    uint64_t m_lastId { 0 };
};

}
