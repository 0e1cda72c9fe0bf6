#include "PendingCalls.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Peer {

PendingCalls::PendingCalls(const boost::asio::any_io_executor& executor)
    : m_executor(executor)
{
}

Core::Task<std::optional<CallResult>> PendingCalls::wait(uint64_t id, Core::Deadline deadline)
{
    std::shared_ptr<Waiter> waiter(new Waiter { boost::asio::steady_timer(m_executor, deadline.at()), std::nullopt });
    m_calls.emplace(id, waiter);
    boost::system::error_code ignored;
    co_await waiter->timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    m_calls.erase(id);
    co_return std::move(waiter->result);
}

bool PendingCalls::complete(uint64_t id, CallResult result)
{
    auto position = m_calls.find(id);
    if (position == m_calls.end() || position->second->result)
        return false;
    position->second->result = std::move(result);
    position->second->timer.cancel();
    return true;
}

void PendingCalls::failAll(const std::string& message)
{
    for (const auto& [id, waiter] : m_calls) {
        if (waiter->result)
            continue;
        waiter->result = CallResult { CallResult::Kind::LinkClosed, message };
        waiter->timer.cancel();
    }
}

}
