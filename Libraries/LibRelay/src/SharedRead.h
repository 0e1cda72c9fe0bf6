#pragma once

#include "LibCore/Async.h"
#include "LibCore/Reason.h"
#include <functional>

namespace Relay {

// Shares the reads of something in the store among concurrent callers. Each caller gets the result of a read that began after its
// call, so that it sees all that was written before.
class SharedRead {
public:
    using Read = std::function<Core::Task<bool>(Core::Reason&)>;

    // Reads begin at least the spacing apart.
    SharedRead(const boost::asio::any_io_executor&, std::chrono::milliseconds spacing, Read);

    // Returns false if the read failed, or was not finished by the deadline.
    Core::Task<bool> read(Core::Deadline, Core::Reason&);

private:
    Core::Task<void> run();

    boost::asio::any_io_executor m_executor;
    std::chrono::milliseconds m_spacing;
    Read m_read;
    Core::Signal m_finishedRead;
    uint64_t m_begun { 0 };
    uint64_t m_finished { 0 };
    uint64_t m_wanted { 0 };
    bool m_isRunning { false };
    bool m_hasSucceeded { false };
    Core::Reason m_reason;
};

}
