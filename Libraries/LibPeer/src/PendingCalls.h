#pragma once

#include "LibCore/Async.h"
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Peer {

// The result of a call that was sent.
struct CallResult {
    enum class Kind {
        Answered,
        Failed,
        LinkClosed,
    };
    Kind kind { Kind::LinkClosed };
    // Body of the answer, or error message.
    std::string text;
};

// Tracks the calls on a link that are waiting for an answer.
class PendingCalls {
public:
    explicit PendingCalls(const boost::asio::any_io_executor&);

    // Waits for the result of the call. Returns nullopt if the deadline passes first; an answer that arrives later is
    // dropped.
    Core::Task<std::optional<CallResult>> wait(uint64_t id, Core::Deadline);

    // Sets the result of a call. Returns false if no call with this id is pending.
    bool complete(uint64_t id, CallResult);

    // Completes all pending calls with LinkClosed.
    void failAll(const std::string& message);

    bool empty() const { return m_calls.empty(); }

private:
    struct Waiter {
        boost::asio::steady_timer timer;
        std::optional<CallResult> result;
    };

    boost::asio::any_io_executor m_executor;
    std::map<uint64_t, std::shared_ptr<Waiter>> m_calls;
};

}
