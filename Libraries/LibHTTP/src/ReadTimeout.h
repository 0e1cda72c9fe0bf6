#pragma once

#include "LibCore/Deadline.h"
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <memory>
#include <optional>

namespace HTTP {

namespace asio = boost::asio;
namespace beast = boost::beast;

// Cancels reads from a connection at the deadline. The timeout of beast::tcp_stream starts and cancels a timer for every
// read, which costs more than the read itself when each event of a stream is read separately; this timer is only set when
// the deadline changes. That timeout also closes the connection, which loses data that a read has received and not yet
// returned; cancelling does not. A read that has just returned data may be followed by another one, so cancelling is repeated.
class ReadTimeout {
public:
    explicit ReadTimeout(beast::tcp_stream& stream)
        : m_state(std::make_shared<State>(stream))
    {
    }
    ~ReadTimeout() { stop(); }
    ReadTimeout(const ReadTimeout&) = delete;
    ReadTimeout& operator=(const ReadTimeout&) = delete;

    void setDeadline(Core::SteadyClock::time_point at)
    {
        if (m_state->deadline == at)
            return;
        m_state->deadline = at;
        m_state->hasExpired = false;
        waitUntil(m_state, at);
    }

    void stop()
    {
        m_state->stream = nullptr;
        m_state->timer.cancel();
    }

    bool hasExpired() const { return m_state->hasExpired; }

private:
    // Time between two cancellations after the deadline.
    static constexpr std::chrono::milliseconds repeatInterval { 50 };

    struct State {
        explicit State(beast::tcp_stream& stream)
            : stream(&stream)
            , timer(stream.get_executor())
        {
        }
        // Null once the timeout has been stopped.
        beast::tcp_stream* stream;
        asio::steady_timer timer;
        // The current deadline. Completed waits for a previous one are ignored.
        std::optional<Core::SteadyClock::time_point> deadline {};
        bool hasExpired { false };
    };

    static void waitUntil(const std::shared_ptr<State>& state, Core::SteadyClock::time_point at)
    {
        state->timer.expires_at(at);
        state->timer.async_wait([state, deadline = state->deadline](const beast::error_code& error) {
            if (error || !state->stream || state->deadline != deadline)
                return;
            state->hasExpired = true;
            state->stream->cancel();
            waitUntil(state, Core::SteadyClock::now() + repeatInterval);
        });
    }

    std::shared_ptr<State> m_state;
};

}
