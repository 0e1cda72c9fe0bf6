#include "SharedRead.h"

namespace Relay {

using Core::Deadline;
using Core::Reason;

SharedRead::SharedRead(const boost::asio::any_io_executor& executor, std::chrono::milliseconds spacing, Read read)
    : m_executor(executor)
    , m_spacing(spacing)
    , m_read(std::move(read))
    , m_finishedRead(executor)
{
}

Core::Task<bool> SharedRead::read(Deadline deadline, Reason& reason)
{
    uint64_t wanted = m_wanted = m_begun + 1;
    if (!std::exchange(m_isRunning, true))
        Core::spawn(m_executor, "shared read", run());
    while (m_finished < wanted) {
        if (!co_await m_finishedRead.wait(deadline) && m_finished < wanted) {
            reason = { Core::FailureKind::TimedOut, "read from the store", "store", "no answer in time" };
            co_return false;
        }
    }
    reason = m_reason;
    co_return m_hasSucceeded;
}

Core::Task<void> SharedRead::run()
{
    while (m_begun < m_wanted) {
        Deadline next = Deadline::after(m_spacing);
        ++m_begun;
        m_reason = {};
        m_hasSucceeded = co_await m_read(m_reason);
        m_finished = m_begun;
        m_finishedRead.notifyAll();
        co_await Core::sleepUntil(next);
    }
    m_isRunning = false;
}

}
