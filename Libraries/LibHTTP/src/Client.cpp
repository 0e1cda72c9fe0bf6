#include "LibHTTP/Client.h"

#include "PooledStream.h"
#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace HTTP {

// TCP_USER_TIMEOUT: closes connections to peers that stop acknowledging data, since a network partition alone does not
// close them.
static constexpr int tcpUserTimeoutMs = 3'000;
static constexpr int receiveBufferBytes = 64 * 1024;

Core::Task<std::optional<std::string>> ResponseStream::readAll(size_t maxBytes, Core::Deadline deadline, Core::Reason& reason)
{
    std::string body;
    for (;;) {
        std::optional<std::string> chunk = co_await readSome(deadline, reason);
        if (!chunk)
            co_return std::nullopt;
        if (chunk->empty())
            co_return body;
        size_t size = body.size() + chunk->size();
        if (size > maxBytes) {
            reason = { Core::FailureKind::OutcomeUnknown, "read body", "", "the response body exceeds the limit of " + std::to_string(maxBytes) + " bytes" };
            co_return std::nullopt;
        }
        if (size > body.capacity()) {
            size_t capacity = std::min(std::max(size, 2 * body.capacity()), maxBytes);
            if (!reserve(capacity)) {
                reason = { Core::FailureKind::OutcomeUnknown, "read body", "", memoryShortMessage };
                co_return std::nullopt;
            }
            body.reserve(capacity);
        }
        body += *chunk;
    }
}

Core::Task<void> ResponseStream::discardAll(size_t maxBytes, Core::Deadline deadline)
{
    Core::Reason ignored;
    size_t discardedBytes = 0;
    while (discardedBytes <= maxBytes) {
        std::optional<std::string> chunk = co_await readSome(deadline, ignored);
        if (!chunk || chunk->empty())
            co_return;
        discardedBytes += chunk->size();
    }
}

Client::Client(const asio::any_io_executor& executor, std::shared_ptr<BufferBudget> budget)
    : m_executor(executor)
    , m_pool(std::make_shared<Pool>(std::move(budget)))
{
}

Client::~Client() = default;

// Empty if the attempt says nothing about the path to the peer.
static std::optional<ConnectAttempt::Outcome> connectOutcome(const beast::error_code& error)
{
    if (!error)
        return ConnectAttempt::Outcome::Established;
    if (error == asio::error::connection_refused || error == asio::error::connection_reset)
        return ConnectAttempt::Outcome::Refused;
    if (error == beast::error::timeout || error == asio::error::timed_out)
        return ConnectAttempt::Outcome::TimedOut;
    return std::nullopt;
}

static Core::Task<bool> connect(Connection& connection, const Core::Address& address, Core::Deadline deadline, const CallOptions& options,
    const std::function<void(const ConnectAttempt&)>& attemptEnded, Core::Reason& reason)
{
    beast::error_code parseError;
    tcp::endpoint endpoint(asio::ip::make_address(address.ip, parseError), address.port);
    // Bounds what the system keeps of a response that is not read.
    beast::error_code ignored;
    connection.stream.socket().open(endpoint.protocol(), ignored);
    connection.stream.socket().set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes), ignored);
    connection.stream.expires_at(deadline.at());
    Core::SteadyClock::time_point startedAt = Core::SteadyClock::now();
    auto [error] = co_await connection.stream.async_connect(endpoint, asTuple);
    if (std::optional<ConnectAttempt::Outcome> outcome = connectOutcome(error); outcome && attemptEnded)
        attemptEnded({ address, *outcome, startedAt, Core::SteadyClock::now() });
    if (error) {
        reason = makeReason(error, Core::FailureKind::Unavailable, "connect", address);
        if (error == asio::error::connection_refused && options.connectionRefused)
            options.connectionRefused();
        co_return false;
    }
    connection.setEstablished();
    connection.stream.socket().set_option(tcp::no_delay(true), ignored);
    ::setsockopt(connection.stream.socket().native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &tcpUserTimeoutMs, sizeof(tcpUserTimeoutMs));
    // Closing discards what has not been sent yet. Otherwise a request that was abandoned during a network partition would be
    // delivered once the partition heals.
    // Set directly, since Asio's destructor of a socket undoes the option.
    static constexpr ::linger discardUnsent { 1, 0 };
    ::setsockopt(connection.stream.socket().native_handle(), SOL_SOCKET, SO_LINGER, &discardUnsent, sizeof(discardUnsent));
    co_return true;
}

namespace {

// Detaches the cancellation from the connection unless a response stream has taken ownership of both.
struct CancellationGuard {
    std::shared_ptr<Cancellation> cancellation;

    explicit CancellationGuard(std::shared_ptr<Cancellation> cancellation)
        : cancellation(std::move(cancellation))
    {
    }
    CancellationGuard(const CancellationGuard&) = delete;
    CancellationGuard& operator=(const CancellationGuard&) = delete;
    ~CancellationGuard()
    {
        if (cancellation)
            cancellation->attach({});
    }

    void release() { cancellation = nullptr; }
};

}

static http::request<http::string_body> buildMessage(const Core::Address& address, const Request& request, std::string body)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    if (!findHeader(request.headers, "Host"))
        message.set(http::field::host, address.text());
    for (const Header& header : request.headers)
        message.insert(header.name, header.value);
    message.body() = std::move(body);
    message.prepare_payload();
    return message;
}

void Cancellation::cancel()
{
    m_isCancelled = true;
    if (m_closeConnection)
        std::exchange(m_closeConnection, {})();
}

void Cancellation::attach(std::function<void()> closeConnection)
{
    m_closeConnection = std::move(closeConnection);
}

bool Client::hasOpenConnection(const Core::Address& address, Core::SteadyClock::time_point establishedBefore) const
{
    auto it = m_pool->table->connections.find(address);
    return it != m_pool->table->connections.end() && std::any_of(it->second.begin(), it->second.end(), [establishedBefore](Connection* connection) {
        return connection->establishedAt() < establishedBefore && connection->isOpen();
    });
}

void Client::onConnectAttempt(std::function<void(const ConnectAttempt&)> handler)
{
    m_pool->connectAttemptEnded = std::move(handler);
}

uint64_t Client::connectionsOpened() const
{
    return m_pool->connectionsOpened;
}

Core::Task<std::optional<std::unique_ptr<ResponseStream>>> Client::call(
    Core::Address address, Request request, Core::Deadline deadline, CallOptions options, Core::Reason& reason)
{
    http::request<http::string_body> message = buildMessage(address, request, std::move(request.body));
    std::unique_ptr<Connection> connection = options.use == ConnectionUse::Pooled ? m_pool->acquire(address) : nullptr;
    bool isReused = connection != nullptr;
    if (!connection)
        connection = std::make_unique<Connection>(m_executor, m_pool->table, m_pool->budget, address);
    if (options.cancellation)
        options.cancellation->attach([stream = &connection->stream] { stream->close(); });
    CancellationGuard cancellationGuard { options.cancellation };
    if (!isReused) {
        ++m_pool->connectionsOpened;
        if (!co_await connect(*connection, address, std::min(deadline, options.connectDeadline), options, m_pool->connectAttemptEnded, reason))
            co_return std::nullopt;
    }
    if (options.guard && !options.guard()) {
        m_pool->release(address, std::move(connection));
        reason = { Core::FailureKind::Refused, "send request", address.text(), "the send guard rejected the request; nothing was sent" };
        co_return std::nullopt;
    }
    connection->stream.expires_at(deadline.at());
    auto [error, size] = co_await http::async_write(connection->stream, message, asTuple);
    bool hasReceivedBytes = false;
    if (error) {
        reason = makeReason(error, Core::FailureKind::OutcomeUnknown, "send request", address);
    } else {
        std::unique_ptr<PooledStream<std::shared_ptr<Pool>>> stream
            = std::make_unique<PooledStream<std::shared_ptr<Pool>>>(m_pool, address, std::move(connection), options.cancellation);
        if (co_await stream->readHeader(deadline, request, options, hasReceivedBytes, reason)) {
            cancellationGuard.release();
            co_return std::unique_ptr<ResponseStream>(std::move(stream));
        }
    }
    bool isCancelled = options.cancellation && options.cancellation->isCancelled();
    if (isReused && options.reusedConnectionFailed && !hasReceivedBytes && !isCancelled && !deadline.hasPassed())
        options.reusedConnectionFailed();
    co_return std::nullopt;
}

Core::Task<bool> Client::testConnect(Core::Address address, Core::Deadline deadline)
{
    Connection connection(m_executor, m_pool->table, m_pool->budget, address);
    ++m_pool->connectionsOpened;
    Core::Reason ignored;
    co_return co_await connect(connection, address, deadline, {}, m_pool->connectAttemptEnded, ignored);
}

Core::Task<std::optional<std::unique_ptr<ResponseStream>>> Client::open(
    Core::Address address, Request request, Core::Deadline deadline, Core::Reason& reason, ConnectionUse use)
{
    CallOptions options;
    options.use = use;
    co_return co_await call(std::move(address), std::move(request), deadline, std::move(options), reason);
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
