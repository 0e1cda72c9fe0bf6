#pragma once

#include "ConnectionPool.h"
#include "ReadTimeout.h"
#include "ResponseHead.h"
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

// A response that is read from a pooled connection.
namespace HTTP {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

inline constexpr asio::as_tuple_t<asio::use_awaitable_t<>> asTuple(asio::use_awaitable);
// Maximum number of informational responses and responses to other requests that a call discards before it closes the connection.
inline constexpr int maxDiscardedResponses = 3;
// Maximum size of the body of a response to another request that is read before the connection is closed instead.
inline constexpr size_t maxDiscardedBodyBytes = 1024 * 1024;
inline constexpr size_t readBufferBytes = 16 * 1024;
// Idle connections are not reused this close to the peer's keep-alive timeout, since the peer could close the connection
// while a request is in flight.
inline constexpr std::chrono::milliseconds keepAliveMargin(500);
// Used if the peer sends no keep-alive timeout; such a peer may close idle connections in less than a second.
inline constexpr std::chrono::milliseconds defaultKeepAliveTimeout(700);

// The error of a read whose data exceeds the budget for responses.
inline constexpr asio::error::basic_errors overBudget = asio::error::no_memory;

inline Core::Reason makeReason(const beast::error_code& error, Core::FailureKind kind, const char* step, const Core::Address& address)
{
    if (error == overBudget)
        return { kind, step, address.text(), memoryShortMessage };
    if (error == beast::error::timeout && kind == Core::FailureKind::Unavailable)
        kind = Core::FailureKind::TimedOut;
    return { kind, step, address.text(), error.message() };
}

// Whether the text contains a status line up to its code. A header value or reason phrase that does results from a response that
// broke off and was followed by another one: the parser reads them as one head, with the status of the first.
inline bool containsStatusLine(std::string_view text)
{
    static constexpr std::string_view version = "HTTP/1.";
    // Minor version, space, three digits.
    static constexpr size_t restLength = 5;
    for (size_t at = text.find(version); at != std::string_view::npos; at = text.find(version, at + 1)) {
        std::string_view rest = text.substr(at + version.size(), restLength);
        if (rest.size() == restLength && rest[1] == ' ' && rest.substr(2).find_first_not_of("0123456789") == std::string_view::npos)
            return true;
    }
    return false;
}

inline bool containsFoldedLine(std::string_view head)
{
    return head.find("\r\n ") != std::string_view::npos || head.find("\r\n\t") != std::string_view::npos;
}

template <typename PoolPointer>
class PooledStream final : public ResponseStream {
public:
    PooledStream(PoolPointer pool, Core::Address address, std::unique_ptr<Connection> connection, std::shared_ptr<Cancellation> cancellation)
        : m_pool(std::move(pool))
        , m_address(std::move(address))
        , m_connection(std::move(connection))
        , m_cancellation(std::move(cancellation))
        , m_timeout(m_connection->stream)
        , m_kept(m_pool->budget, m_address)
    {
    }

    ~PooledStream() override
    {
        if (m_cancellation)
            m_cancellation->attach({});
    }

    // Reads the headers of the first expected response to the request. hasReceivedBytes is set if any byte of a response was received.
    Core::Task<bool> readHeader(Core::Deadline deadline, const Request& request, const CallOptions& options, bool& hasReceivedBytes, Core::Reason& reason)
    {
        for (int discarded = 0; discarded <= maxDiscardedResponses; ++discarded) {
            m_parser.emplace();
            m_parser->body_limit(boost::none);
            if (request.method == "HEAD")
                m_parser->skip(true);
            m_connection->stream.expires_at(deadline.at());
            m_head = {};
            beast::error_code error = co_await parseHead();
            hasReceivedBytes = hasReceivedBytes || m_parser->got_some();
            if (!error && !m_connection->reserveBuffer())
                error = overBudget;
            if (error) {
                reason = makeReason(error, Core::FailureKind::OutcomeUnknown, "read response", m_address);
                co_return false;
            }
            bool isJoined = containsStatusLine(m_parser->get().reason());
            for (const http::fields::value_type& field : m_parser->get()) {
                isJoined = isJoined || containsStatusLine(field.value());
                m_head.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
            }
            if (isJoined) {
                reason = { Core::FailureKind::OutcomeUnknown, "read response", m_address.text(), "the response head contains the status line of another response" };
                co_return false;
            }
            m_head.status = m_parser->get().result_int();
            m_head.isHTTP11 = m_parser->get().version() == 11;
            if (std::optional<std::string> fault = findFault(m_head, request.headers)) {
                reason = { Core::FailureKind::OutcomeUnknown, "read response", m_address.text(), std::move(*fault) };
                co_return false;
            }
            bool isInformational = m_head.status / 100 == 1;
            if (isInformational)
                continue;
            if (!options.isExpected || options.isExpected(m_head.status, m_head.headers)) {
                releaseIfComplete();
                co_return true;
            }
            if (!co_await discardBody(deadline, reason))
                co_return false;
        }
        reason = { Core::FailureKind::OutcomeUnknown, "read response", m_address.text(), "received only informational responses and responses to other requests" };
        co_return false;
    }

    bool reserve(size_t bytes) override { return m_kept.resize(bytes); }

    unsigned status() const override { return m_head.status; }
    const Headers& headers() const override { return m_head.headers; }
    bool endsWithConnection() const override { return m_parser->need_eof(); }

    Core::Task<std::optional<std::string>> readSome(Core::Deadline deadline, Core::Reason& reason) override
    {
        std::string buffer;
        while (m_connection && buffer.empty()) {
            buffer.resize(readBufferBytes);
            m_parser->get().body().data = buffer.data();
            m_parser->get().body().size = buffer.size();
            m_connection->stream.expires_never();
            m_timeout.setDeadline(deadline.at());
            beast::error_code error = beast::error::timeout;
            if (!m_timeout.hasExpired())
                error = std::get<0>(co_await http::async_read_some(m_connection->stream, m_connection->buffer, *m_parser, asTuple));
            if ((!error || error == http::error::need_buffer) && !m_connection->reserveBuffer())
                error = overBudget;
            // The end of the connection is the end of the response only for a peer that has received the whole request. Otherwise it
            // may as well have broken off.
            if (!error && m_parser->is_done() && m_parser->need_eof() && !m_connection->hasEndedAfterReceivingAll())
                error = http::error::partial_message;
            if (error && error != http::error::need_buffer) {
                if (m_timeout.hasExpired())
                    error = beast::error::timeout;
                reason = makeReason(error, Core::FailureKind::OutcomeUnknown, "read body", m_address);
                if (error == beast::error::timeout)
                    reason.kind = Core::FailureKind::TimedOut;
                closeConnection();
                m_hasFailed = true;
                break;
            }
            buffer.resize(buffer.size() - m_parser->get().body().size);
            releaseIfComplete();
        }
        if (m_hasFailed)
            co_return std::nullopt;
        co_return buffer;
    }

private:
    // Like http::async_read_header(), but sees the bytes of the head.
    Core::Task<beast::error_code> parseHead()
    {
        beast::flat_buffer& buffer = m_connection->buffer;
        for (;;) {
            if (buffer.size() > 0) {
                beast::error_code error;
                asio::const_buffer bytes = buffer.data();
                // Consumes nothing before the head is complete.
                size_t headBytes = m_parser->put(bytes, error);
                m_head.hasFoldedLine = containsFoldedLine({ static_cast<const char*>(bytes.data()), headBytes });
                buffer.consume(headBytes);
                if (m_parser->is_header_done() || (error && error != http::error::need_more))
                    co_return error;
            }
            size_t size = beast::read_size(buffer, readBufferBytes);
            if (size == 0)
                co_return http::error::buffer_overflow;
            auto [error, received] = co_await m_connection->stream.async_read_some(buffer.prepare(size), asTuple);
            buffer.commit(received);
            if (error == asio::error::eof)
                co_return m_parser->got_some() ? http::error::partial_message : http::error::end_of_stream;
            if (error)
                co_return error;
        }
    }

    void closeConnection()
    {
        m_timeout.stop();
        if (m_cancellation)
            m_cancellation->attach({});
        m_connection.reset();
    }

    // Reads and drops the body of a response to another request. A body that extends to the end of the connection leaves
    // no next response to read.
    Core::Task<bool> discardBody(Core::Deadline deadline, Core::Reason& reason)
    {
        std::string buffer(readBufferBytes, 0);
        size_t discardedBytes = 0;
        while (!m_parser->is_done()) {
            if (discardedBytes > maxDiscardedBodyBytes) {
                reason = { Core::FailureKind::OutcomeUnknown, "discard response", m_address.text(), "the body of a response to another request exceeds " + std::to_string(maxDiscardedBodyBytes) + " bytes" };
                co_return false;
            }
            m_parser->get().body().data = buffer.data();
            m_parser->get().body().size = buffer.size();
            m_connection->stream.expires_at(deadline.at());
            auto [error, size] = co_await http::async_read_some(m_connection->stream, m_connection->buffer, *m_parser, asTuple);
            if (error && error != http::error::need_buffer) {
                reason = makeReason(error, Core::FailureKind::OutcomeUnknown, "discard response", m_address);
                co_return false;
            }
            discardedBytes += buffer.size() - m_parser->get().body().size;
        }
        co_return true;
    }

    // Returns the connection to the pool once the response has been read completely.
    void releaseIfComplete()
    {
        if (!m_parser->is_done())
            return;
        m_timeout.stop();
        m_connection->stream.expires_never();
        if (m_parser->get().keep_alive() && !announcesForbiddenBody(m_head)) {
            if (m_cancellation)
                m_cancellation->attach({});
            m_connection->reusableUntil = reuseDeadline();
            m_pool->release(m_address, std::move(m_connection));
        }
        closeConnection();
    }

    // Derived from the peer's `Keep-Alive: timeout=N`, with N in seconds, less keepAliveMargin.
    Core::Deadline reuseDeadline() const
    {
        static constexpr std::string_view parameter = "timeout=";
        std::string text = findHeader(m_head.headers, "Keep-Alive").value_or("");
        size_t at = text.find(parameter);
        if (at == std::string::npos)
            return Core::Deadline::after(defaultKeepAliveTimeout);
        std::chrono::milliseconds peerTimeout(std::strtol(text.c_str() + at + parameter.size(), nullptr, 10) * 1'000);
        return Core::Deadline::after(std::max(peerTimeout - keepAliveMargin, keepAliveMargin));
    }

    PoolPointer m_pool;
    Core::Address m_address;
    std::unique_ptr<Connection> m_connection;
    std::shared_ptr<Cancellation> m_cancellation;
    ReadTimeout m_timeout;
    // What the reader keeps of the body.
    BufferBudget::Reservation m_kept;
    std::optional<http::response_parser<http::buffer_body>> m_parser;
    ResponseHead m_head;
    bool m_hasFailed { false };
};

}
