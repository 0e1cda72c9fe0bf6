#include "LibHTTP/Client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <sys/socket.h>

namespace HTTP {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
static constexpr asio::as_tuple_t<asio::use_awaitable_t<>> asTuple(asio::use_awaitable);
static constexpr size_t maxIdlePerAddress = 256;
static constexpr size_t readPieceBytes = 16 * 1024;

namespace {

struct Connection {
    explicit Connection(const asio::any_io_executor& executor)
        : stream(executor)
    {
    }
    beast::tcp_stream stream;
    beast::flat_buffer buffer;

    // False when the peer has closed the connection or has sent bytes that nobody asked for.
    bool isIdle()
    {
        char byte = 0;
        ssize_t received = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) && buffer.size() == 0;
    }
};

}

struct Client::Pool {
    std::map<Core::Address, std::vector<std::unique_ptr<Connection>>> idle;

    std::unique_ptr<Connection> take(const Core::Address& address)
    {
        std::vector<std::unique_ptr<Connection>>& connections = idle[address];
        while (!connections.empty()) {
            std::unique_ptr<Connection> connection = std::move(connections.back());
            connections.pop_back();
            if (connection->isIdle())
                return connection;
        }
        return nullptr;
    }

    void put(const Core::Address& address, std::unique_ptr<Connection> connection)
    {
        std::vector<std::unique_ptr<Connection>>& connections = idle[address];
        if (connections.size() < maxIdlePerAddress)
            connections.push_back(std::move(connection));
    }
};

static Core::Reason describe(const beast::error_code& error, Core::FailureKind kind, const char* step, const Core::Address& address)
{
    if (error == beast::error::timeout && kind == Core::FailureKind::Unavailable)
        kind = Core::FailureKind::TimedOut;
    return { kind, step, address.text(), error.message() };
}

namespace {

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
    PooledStream(PoolPointer pool, Core::Address address, std::unique_ptr<Connection> connection)
        : m_pool(std::move(pool))
        , m_address(std::move(address))
        , m_connection(std::move(connection))
        , m_timeout(*m_connection)
    {
        m_parser.body_limit(boost::none);
    }

    Core::Task<bool> readHeader(Core::Deadline deadline, bool isHead, Core::Reason& reason)
    {
        if (isHead)
            m_parser.skip(true);
        m_connection->stream.expires_at(deadline.at());
        auto [error, size] = co_await http::async_read_header(m_connection->stream, m_connection->buffer, m_parser, asTuple);
        if (error) {
            reason = describe(error, Core::FailureKind::OutcomeUnknown, "read response", m_address);
            co_return false;
        }
        for (const http::fields::value_type& field : m_parser.get())
            m_headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
        releaseIfDone();
        co_return true;
    }

    unsigned status() const override { return m_parser.get().result_int(); }
    const Headers& headers() const override { return m_headers; }

    Core::Task<std::optional<std::string>> readSome(Core::Deadline deadline, Core::Reason& reason) override
    {
        std::string piece;
        while (m_connection && piece.empty()) {
            piece.resize(readPieceBytes);
            m_parser.get().body().data = piece.data();
            m_parser.get().body().size = piece.size();
            m_connection->stream.expires_never();
            m_timeout.setDeadline(deadline.at());
            beast::error_code error = beast::error::timeout;
            if (!m_timeout.hasExpired())
                error = std::get<0>(co_await http::async_read_some(m_connection->stream, m_connection->buffer, m_parser, asTuple));
            if (error && error != http::error::need_buffer) {
                if (m_timeout.hasExpired())
                    error = beast::error::timeout;
                reason = describe(error, Core::FailureKind::OutcomeUnknown, "read body", m_address);
                if (error == beast::error::timeout)
                    reason.kind = Core::FailureKind::TimedOut;
                m_timeout.stop();
                m_connection.reset();
                m_isBroken = true;
                break;
            }
            piece.resize(piece.size() - m_parser.get().body().size);
            releaseIfDone();
        }
        if (m_isBroken)
            co_return std::nullopt;
        co_return piece;
    }

private:
    // Hands the connection back to the pool once the whole response has been read.
    void releaseIfDone()
    {
        if (!m_parser.is_done())
            return;
        m_timeout.stop();
        m_connection->stream.expires_never();
        if (m_parser.get().keep_alive())
            m_pool->put(m_address, std::move(m_connection));
        m_connection.reset();
    }

    PoolPointer m_pool;
    Core::Address m_address;
    std::unique_ptr<Connection> m_connection;
    ReadTimeout m_timeout;
    http::response_parser<http::buffer_body> m_parser;
    Headers m_headers;
    bool m_isBroken { false };
};

}

Core::Task<std::optional<std::string>> ResponseStream::readAll(size_t maxBytes, Core::Deadline deadline, Core::Reason& reason)
{
    std::string body;
    for (;;) {
        std::optional<std::string> piece = co_await readSome(deadline, reason);
        if (!piece)
            co_return std::nullopt;
        if (piece->empty())
            co_return body;
        body += *piece;
        if (body.size() > maxBytes) {
            reason = { Core::FailureKind::OutcomeUnknown, "read body", "", "the body is larger than " + std::to_string(maxBytes) + " bytes" };
            co_return std::nullopt;
        }
    }
}

Client::Client(const asio::any_io_executor& executor)
    : m_executor(executor)
    , m_pool(std::make_shared<Pool>())
{
}

Client::~Client() = default;

static Core::Task<bool> connect(Connection& connection, const Core::Address& address, Core::Deadline deadline, Core::Reason& reason)
{
    beast::error_code parseError;
    tcp::endpoint endpoint(asio::ip::make_address(address.ip, parseError), address.port);
    connection.stream.expires_at(deadline.at());
    auto [error] = co_await connection.stream.async_connect(endpoint, asTuple);
    if (error) {
        reason = describe(error, Core::FailureKind::Unavailable, "connect", address);
        co_return false;
    }
    beast::error_code ignored;
    connection.stream.socket().set_option(tcp::no_delay(true), ignored);
    co_return true;
}

static http::request<http::string_body> buildMessage(const Core::Address& address, Request request)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, address.text());
    for (const Header& header : request.headers)
        message.insert(header.name, header.value);
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

Core::Task<std::optional<std::unique_ptr<ResponseStream>>> Client::openGuarded(
    Core::Address address, Request request, Core::Deadline deadline, SendGuard guard, Core::Reason& reason, ConnectionUse use)
{
    std::unique_ptr<Connection> connection = use == ConnectionUse::Pooled ? m_pool->take(address) : nullptr;
    if (!connection) {
        connection = std::make_unique<Connection>(m_executor);
        if (!co_await connect(*connection, address, deadline, reason))
            co_return std::nullopt;
    }
    bool isHead = request.method == "HEAD";
    http::request<http::string_body> message = buildMessage(address, std::move(request));
    if (guard && !guard()) {
        m_pool->put(address, std::move(connection));
        reason = { Core::FailureKind::Refused, "send request", address.text(), "the condition for sending no longer holds" };
        co_return std::nullopt;
    }
    connection->stream.expires_at(deadline.at());
    auto [error, size] = co_await http::async_write(connection->stream, message, asTuple);
    if (error) {
        reason = describe(error, Core::FailureKind::OutcomeUnknown, "send request", address);
        co_return std::nullopt;
    }
    std::unique_ptr<PooledStream<std::shared_ptr<Pool>>> stream
        = std::make_unique<PooledStream<std::shared_ptr<Pool>>>(m_pool, address, std::move(connection));
    if (!co_await stream->readHeader(deadline, isHead, reason))
        co_return std::nullopt;
    co_return std::unique_ptr<ResponseStream>(std::move(stream));
}

Core::Task<std::optional<std::unique_ptr<ResponseStream>>> Client::open(
    Core::Address address, Request request, Core::Deadline deadline, Core::Reason& reason, ConnectionUse use)
{
    co_return co_await openGuarded(std::move(address), std::move(request), deadline, {}, reason, use);
}

Core::Task<std::optional<Response>> Client::roundTrip(
    Core::Address address, Request request, Core::Deadline deadline, Core::Reason& reason, ConnectionUse use)
{
    static constexpr size_t maxResponseBytes = 64 * 1024 * 1024;
    std::optional<std::unique_ptr<ResponseStream>> stream = co_await open(address, std::move(request), deadline, reason, use);
    if (!stream)
        co_return std::nullopt;
    std::optional<std::string> body = co_await (*stream)->readAll(maxResponseBytes, deadline, reason);
    if (!body)
        co_return std::nullopt;
    co_return Response { (*stream)->status(), (*stream)->headers(), std::move(*body) };
}

}
