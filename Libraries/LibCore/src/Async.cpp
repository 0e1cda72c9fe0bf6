#include "LibCore/Async.h"

#include "LibCore/EventLog.h"
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <exception>

namespace Core {

static constexpr Event taskFailed { 1001, Severity::Error, "task_failed" };

void spawn(const boost::asio::any_io_executor& executor, std::string name, Task<void> task)
{
    boost::asio::co_spawn(executor, std::move(task), [name = std::move(name)](std::exception_ptr error) {
        if (!error)
            return;
        try {
            std::rethrow_exception(error);
        } catch (const std::exception& exception) {
            logEvent(taskFailed, name + " ended with an exception: " + exception.what());
        }
    });
}

Task<void> sleepUntil(Deadline deadline)
{
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, deadline.at());
    boost::system::error_code ignored;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

Signal::Signal(const boost::asio::any_io_executor& executor)
    : m_executor(executor)
    , m_state(std::make_shared<State>())
{
}

void Signal::notifyAll()
{
    std::vector<std::shared_ptr<boost::asio::steady_timer>> waiters = std::move(m_state->waiters);
    m_state->waiters.clear();
    ++m_state->notifications;
    for (const std::shared_ptr<boost::asio::steady_timer>& timer : waiters)
        timer->cancel();
}

Task<bool> Signal::wait(Deadline deadline)
{
    std::shared_ptr<State> state = m_state;
    uint64_t before = state->notifications;
    std::shared_ptr<boost::asio::steady_timer> timer = std::make_shared<boost::asio::steady_timer>(m_executor, deadline.at());
    state->waiters.push_back(timer);
    boost::system::error_code error;
    co_await timer->async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, error));
    if (state->notifications != before)
        co_return true;
    std::erase(state->waiters, timer);
    co_return false;
}

}
