#pragma once

#include "ConnectionPool.h"
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

// A response that is read from a connection of the client's pool.
namespace HTTP {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

inline constexpr asio::as_tuple_t<asio::use_awaitable_t<>> asTuple(asio::use_awaitable);
// Responses to other requests that one call discards before it gives up on the connection.
inline constexpr int maxDiscardedResponses = 3;
inline constexpr size_t readPieceBytes = 16 * 1024;
// An idle connection is not used in the last part of the time that the peer keeps it open, since the request could cross
// the peer's close.
inline constexpr std::chrono::milliseconds idleMargin(500);
// Reuse limit for connections whose peer states no idle time; it may be under a second then.
inline constexpr std::chrono::milliseconds defaultIdleTime(700);

inline Core::Reason describe(const beast::error_code& error, Core::FailureKind kind, const char* step, const Core::Address& address)
{
    if (error == beast::error::timeout && kind == Core::FailureKind::Unavailable)
        kind = Core::FailureKind::TimedOut;
    return { kind, step, address.text(), error.message() };
}

// Ends the reads of one response at its deadline. Beast's own timeout starts and cancels a timer for each read, which
// costs more than the read itself when each event of a stream is read alone; this timer is set once for each deadline.
class ReadTimeout {
public:
    explicit ReadTimeout(Connection& connection)
        : m_timer(connection.stream.get_executor())
        , m_state(std::make_shared<State>(State { &connection, false }))
    {
    }
    ~ReadTimeout() { m_state->connection = nullptr; }
    ReadTimeout(const ReadTimeout&) = delete;
    ReadTimeout& operator=(const ReadTimeout&) = delete;

    void setDeadline(Core::SteadyClock::time_point at)
    {
        if (m_isSet && m_timer.expiry() == at)
            return;
        m_isSet = true;
        m_state->hasExpired = false;
        m_timer.expires_at(at);
        m_timer.async_wait([state = m_state, at](const beast::error_code& error) {
            if (error || !state->connection || state->at != at)
                return;
            state->hasExpired = true;
            state->connection->stream.cancel();
        });
        m_state->at = at;
    }

    void stop()
    {
        m_state->connection = nullptr;
        m_timer.cancel();
    }

    bool hasExpired() const { return m_state->hasExpired; }

private:
    struct State {
        Connection* connection;
        bool hasExpired;
        // The deadline in force; a wait for an earlier one that has already completed has no effect.
        Core::SteadyClock::time_point at {};
    };

    asio::steady_timer m_timer;
    std::shared_ptr<State> m_state;
    bool m_isSet { false };
};

template <typename PoolPointer>
class PooledStream final : public ResponseStream {
public:
    PooledStream(PoolPointer pool, Core::Address address, std::unique_ptr<Connection> connection, std::shared_ptr<Cancellation> cancellation)
        : m_pool(std::move(pool))
        , m_address(std::move(address))
        , m_connection(std::move(connection))
        , m_cancellation(std::move(cancellation))
        , m_timeout(*m_connection)
    {
    }

    ~PooledStream() override
    {
        if (m_cancellation)
            m_cancellation->attach({});
    }

    // Reads the headers of the first response that is expected. hasAnswered tells whether any byte has arrived.
    Core::Task<bool> readHeader(Core::Deadline deadline, bool isHead, const CallOptions& options, bool& hasAnswered, Core::Reason& reason)
    {
        for (int discarded = 0; discarded <= maxDiscardedResponses; ++discarded) {
            m_parser.emplace();
            m_parser->body_limit(boost::none);
            if (isHead)
                m_parser->skip(true);
            m_connection->stream.expires_at(deadline.at());
            auto [error, size] = co_await http::async_read_header(m_connection->stream, m_connection->buffer, *m_parser, asTuple);
            hasAnswered = hasAnswered || m_parser->got_some();
            if (error) {
                reason = describe(error, Core::FailureKind::OutcomeUnknown, "read response", m_address);
                co_return false;
            }
            m_headers.clear();
            for (const http::fields::value_type& field : m_parser->get())
                m_headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
            m_status = m_parser->get().result_int();
            if (!options.isExpected || options.isExpected(m_status, m_headers)) {
                releaseIfDone();
                co_return true;
            }
            if (!co_await discardBody(deadline, reason))
                co_return false;
        }
        reason = { Core::FailureKind::OutcomeUnknown, "read response", m_address.text(), "the peer sends responses to other requests" };
        co_return false;
    }

    unsigned status() const override { return m_status; }
    const Headers& headers() const override { return m_headers; }

    Core::Task<std::optional<std::string>> readSome(Core::Deadline deadline, Core::Reason& reason) override
    {
        std::string piece;
        while (m_connection && piece.empty()) {
            piece.resize(readPieceBytes);
            m_parser->get().body().data = piece.data();
            m_parser->get().body().size = piece.size();
            m_connection->stream.expires_never();
            m_timeout.setDeadline(deadline.at());
            beast::error_code error = beast::error::timeout;
            if (!m_timeout.hasExpired())
                error = std::get<0>(co_await http::async_read_some(m_connection->stream, m_connection->buffer, *m_parser, asTuple));
            if (error && error != http::error::need_buffer) {
                if (m_timeout.hasExpired())
                    error = beast::error::timeout;
                reason = describe(error, Core::FailureKind::OutcomeUnknown, "read body", m_address);
                if (error == beast::error::timeout)
                    reason.kind = Core::FailureKind::TimedOut;
                closeConnection();
                m_isBroken = true;
                break;
            }
            piece.resize(piece.size() - m_parser->get().body().size);
            releaseIfDone();
        }
        if (m_isBroken)
            co_return std::nullopt;
        co_return piece;
    }

private:
    void closeConnection()
    {
        m_timeout.stop();
        if (m_cancellation)
            m_cancellation->attach({});
        m_connection.reset();
    }

    // Reads the body of a response to another request. Only one with a length ends where the next response begins.
    Core::Task<bool> discardBody(Core::Deadline deadline, Core::Reason& reason)
    {
        std::string piece(readPieceBytes, 0);
        while (!m_parser->is_done()) {
            m_parser->get().body().data = piece.data();
            m_parser->get().body().size = piece.size();
            m_connection->stream.expires_at(deadline.at());
            auto [error, size] = co_await http::async_read_some(m_connection->stream, m_connection->buffer, *m_parser, asTuple);
            if (error && error != http::error::need_buffer) {
                reason = describe(error, Core::FailureKind::OutcomeUnknown, "discard response", m_address);
                co_return false;
            }
        }
        co_return true;
    }

    // Hands the connection back to the pool once the whole response has been read.
    void releaseIfDone()
    {
        if (!m_parser->is_done())
            return;
        m_timeout.stop();
        m_connection->stream.expires_never();
        if (m_parser->get().keep_alive()) {
            if (m_cancellation)
                m_cancellation->attach({});
            m_connection->reusableUntil = reuseDeadline();
            m_pool->put(m_address, std::move(m_connection));
        }
        closeConnection();
    }

    // The peer's `Keep-Alive: timeout=N`, in seconds, less a margin.
    Core::Deadline reuseDeadline() const
    {
        static constexpr std::string_view parameter = "timeout=";
        std::string text = findHeader(m_headers, "Keep-Alive").value_or("");
        size_t at = text.find(parameter);
        if (at == std::string::npos)
            return Core::Deadline::after(defaultIdleTime);
        std::chrono::milliseconds stated(std::strtol(text.c_str() + at + parameter.size(), nullptr, 10) * 1'000);
        return Core::Deadline::after(std::max(stated - idleMargin, idleMargin));
    }

    PoolPointer m_pool;
    Core::Address m_address;
    std::unique_ptr<Connection> m_connection;
    std::shared_ptr<Cancellation> m_cancellation;
    ReadTimeout m_timeout;
    std::optional<http::response_parser<http::buffer_body>> m_parser;
    unsigned m_status { 0 };
    Headers m_headers;
    bool m_isBroken { false };
};

}
