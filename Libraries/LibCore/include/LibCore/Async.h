#pragma once

#include "LibCore/Deadline.h"
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <vector>

namespace Core {

template <typename T>
using Task = boost::asio::awaitable<T>;

// Starts a task whose result nobody waits for. An escaping exception is logged with the name.
void spawn(const boost::asio::any_io_executor&, std::string name, Task<void>);

// Waits until the deadline.
Task<void> sleepUntil(Deadline);

// Lets any number of tasks wait until another task signals. Single-threaded.
class Signal {
public:
    explicit Signal(const boost::asio::any_io_executor&);
    // Wakes all tasks that are waiting now.
    void notifyAll();
    // Waits for the next notifyAll; false when the deadline passed first.
    Task<bool> wait(Deadline);

private:
    struct State {
        std::vector<std::shared_ptr<boost::asio::steady_timer>> waiters;
        uint64_t notifications { 0 };
    };

    boost::asio::any_io_executor m_executor;
    std::shared_ptr<State> m_state;
};

}
