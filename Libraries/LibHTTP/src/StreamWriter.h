#pragma once

#include "LibHTTP/ResponseWriter.h"
#include "ServerConnection.h"
#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <utility>

namespace HTTP {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

inline constexpr asio::as_tuple_t<asio::use_awaitable_t<>> asTuple(asio::use_awaitable);

// Time limit for sending a response that starts after the time of abortAt.
inline constexpr std::chrono::milliseconds lateResponseTimeout(1'000);

// Smaller responses and chunks are not charged to the memory of the clients, so that a refusal is always sent.
inline constexpr size_t minChargedBytes = 4096;

// Largest part of a chunk that is written at once.
inline constexpr size_t maxWriteBytes = 65'536;

// Writes the response to one request to its connection.
class StreamWriter final : public ResponseWriter {
public:
    // The connection is kept alive if the client requested it and isClosing is false when the response starts.
    StreamWriter(ServerConnection& connection, unsigned version, bool keepAlive, const bool& isClosing)
        : m_connection(connection)
        , m_version(version)
        , m_keepAlive(keepAlive)
        , m_isClosing(isClosing)
    {
    }

    Core::Task<bool> send(Response response, Core::Reason& reason) override
    {
        beginResponse();
        http::response<http::string_body> message(http::int_to_status(response.status), m_version);
        message.result(response.status);
        addHeaders(message, response.headers);
        message.keep_alive(m_keepAlive);
        message.body() = std::move(response.body);
        message.prepare_payload();
        http::response_serializer<http::string_body> serializer(message);
        beast::error_code error;
        if (!reservesResponse(message.body().capacity()))
            error = asio::error::no_memory;
        while (!error && !serializer.is_done()) {
            auto [writeError, size] = co_await http::async_write_some(m_connection.stream, serializer, asTuple);
            error = writeError;
            if (!serializer.is_done())
                m_connection.client.recordSent(size, Core::SteadyClock::now());
        }
        m_isComplete = !error;
        m_connection.client.reserveResponse(0, Core::SteadyClock::now());
        co_return checkWrite(error, reason);
    }

    Core::Task<bool> startStream(unsigned status, Headers headers, Core::Reason& reason) override
    {
        beginResponse();
        http::response<http::empty_body> message(http::int_to_status(status), m_version);
        message.result(status);
        addHeaders(message, headers);
        message.keep_alive(m_keepAlive);
        message.chunked(true);
        http::response_serializer<http::empty_body> serializer(message);
        auto [error, size] = co_await http::async_write_header(m_connection.stream, serializer, asTuple);
        co_return checkWrite(error, reason);
    }

    Core::Task<bool> writeChunk(std::string_view bytes, Core::Reason& reason) override
    {
        bool isCharged = bytes.size() >= minChargedBytes;
        if (isCharged)
            m_connection.client.reserveChunk(bytes.size(), Core::SteadyClock::now());
        auto recordProgress = [this, recorded = size_t { 0 }](const beast::error_code& error, size_t sent) mutable -> size_t {
            if (sent > recorded)
                m_connection.client.recordSent(sent - std::exchange(recorded, sent), Core::SteadyClock::now());
            return error ? 0 : maxWriteBytes;
        };
        auto [error, size] = co_await asio::async_write(
            m_connection.stream, http::make_chunk(asio::const_buffer(bytes.data(), bytes.size())), std::move(recordProgress), asTuple);
        if (isCharged)
            m_connection.client.reserveChunk(0, Core::SteadyClock::now());
        co_return checkWrite(error, reason);
    }

    Core::Task<bool> finishStream(Core::Reason& reason) override
    {
        auto [error, size] = co_await asio::async_write(m_connection.stream, http::make_chunk_last(), asTuple);
        m_isComplete = !error;
        co_return checkWrite(error, reason);
    }

    void onClientDisconnect(std::function<void()> handler) override { m_connection.onDisconnect = std::move(handler); }

    bool isClientConnected() const override { return !m_connection.isDisconnected(); }
    std::optional<Core::SteadyClock::time_point> requestStartedAt() const override { return m_connection.requestStartedAt; }
    void abort() override { m_connection.close(); }

    void abortAt(Core::Deadline deadline) override
    {
        m_timeout = std::make_shared<asio::steady_timer>(m_connection.stream.get_executor(), deadline.at());
        // A wait that ends after the response has been completed must not close the connection, which may serve another request.
        m_timeout->async_wait([this, timeout = std::weak_ptr(m_timeout)](const beast::error_code& error) {
            if (error || timeout.expired())
                return;
            // The client does not delay a response that has not started.
            if (m_hasStarted)
                m_connection.close();
            else
                m_isLate = true;
        });
    }

    bool hasStarted() const override { return m_hasStarted; }
    // True if the response is complete and the connection can serve another request.
    bool isConnectionReusable() const { return m_isComplete && m_keepAlive; }

private:
    void beginResponse()
    {
        m_hasStarted = true;
        m_keepAlive = m_keepAlive && !m_isClosing;
        if (std::exchange(m_isLate, false))
            abortAt(Core::Deadline::after(lateResponseTimeout));
    }

    // Charges the response to the memory of the clients.
    bool reservesResponse(size_t bytes)
    {
        return bytes < minChargedBytes || m_connection.client.reserveResponse(bytes, Core::SteadyClock::now());
    }

    template <typename Message>
    static void addHeaders(Message& message, const Headers& headers)
    {
        for (const Header& header : headers)
            message.insert(header.name, header.value);
    }

    static bool checkWrite(const beast::error_code& error, Core::Reason& reason)
    {
        if (!error)
            return true;
        reason = { Core::FailureKind::Unavailable, "write response", "client", error.message() };
        return false;
    }

    ServerConnection& m_connection;
    unsigned m_version;
    bool m_keepAlive;
    const bool& m_isClosing;
    bool m_hasStarted { false };
    bool m_isComplete { false };
    // See abortAt.
    std::shared_ptr<asio::steady_timer> m_timeout;
    // Whether the time of abortAt has passed before the response started.
    bool m_isLate { false };
};

}
