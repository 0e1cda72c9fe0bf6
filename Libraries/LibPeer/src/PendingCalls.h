#pragma once

#include "LibCore/Async.h"
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Peer {

// How a call that was sent has ended.
struct CallResult {
    enum class Kind {
        Answered,
        Failed,
        LinkBroken,
    };
    Kind kind { Kind::LinkBroken };
    // The answer's body, or why there is none.
    std::string text;
};

// The calls of one link that wait for their answers.
class PendingCalls {
public:
    explicit PendingCalls(const boost::asio::any_io_executor&);

    // Waits until the call ends; nullopt when the deadline passed first. A later answer finds no call and is dropped.
    Core::Task<std::optional<CallResult>> wait(uint64_t id, Core::Deadline);

    // Ends a call; false when none waits under this id.
    bool complete(uint64_t id, CallResult);

    // Ends all calls.
    void breakAll(const std::string& message);

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
