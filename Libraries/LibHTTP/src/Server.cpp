#include "LibHTTP/Server.h"

#include "LibCore/EventLog.h"
#include "ReadTimeout.h"
#include "StreamWriter.h"
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <set>
#include <stdexcept>
#include <sys/socket.h>
#include <vector>

namespace HTTP {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
// TCP_USER_TIMEOUT: closes connections to clients that stop acknowledging data.
static constexpr int tcpUserTimeoutMs = 3'000;
// A request that a client sends at the end of the idle timeout may be delayed on a congested link. The connection stays open for
// it as long as a client that stops acknowledging data is waited for.
static constexpr std::chrono::milliseconds requestTransitTime(tcpUserTimeoutMs);
// Time limit for sending the error response to a request that could not be parsed.
static constexpr std::chrono::milliseconds errorResponseTimeout(1'000);
// Bounds for what is discarded of a refused request, so that the client reads the refusal instead of a reset connection.
static constexpr std::chrono::milliseconds drainTimeout(1'000);
static constexpr size_t maxDrainedBytes = size_t { 1024 } * 1024;
// Part of the connections that may be discarding a refused request at once.
static constexpr size_t drainingDivisor = 16;
// Bounds what the system keeps of a connection, which the process's memory does not show.
// A link of 200 Mbit/s with a delay of 10 ms carries 250 KB.
static constexpr int receiveBufferBytes = 256 * 1024;
static constexpr int sendBufferBytes = 256 * 1024;
// An idle connection keeps a read buffer of at most this size.
static constexpr size_t maxIdleBufferBytes = 4096;
// Memory for a header field beside its text: an element of the parser and one of the request.
static constexpr size_t fieldOverheadBytes = 200;
static constexpr std::chrono::seconds shortageLogInterval(10);

static constexpr Core::Event clientsDropped { 1751, Core::Severity::Warning, "clients_dropped" };

struct Server::State {
    State(const asio::any_io_executor& executor, Handler handler, ServerLimits limits)
        : executor(executor)
        , acceptor(executor)
        , handler(std::move(handler))
        , limits(limits)
    {
    }

    asio::any_io_executor executor;
    tcp::acceptor acceptor;
    Handler handler;
    ServerLimits limits;
    // Where the server listens.
    Core::Address address;
    ClientTable clients;
    std::set<ServerConnection*> connections;
    // Connections whose refused request is being discarded.
    size_t drainingConnections { 0 };
    Core::SteadyClock::time_point shortageLoggedAt {};
    size_t activeRequests { 0 };
    uint64_t idleTimeouts { 0 };
    bool isStopping { false };
    bool isClosing { false };
    // Set by closeAll. The handler isn't called any more, since its owner may have been destroyed.
    bool isClosed { false };
};

// Detects a disconnect while a request is handled by waiting until the socket is readable. Data of a pipelined request ends the
// detection.
static void detectDisconnect(const std::shared_ptr<ServerConnection>& connection)
{
    connection->stream.socket().async_wait(tcp::socket::wait_read,
        [connection, wait = ++connection->disconnectWaits](const beast::error_code& error) {
            if (error || wait != connection->disconnectWaits || !connection->onDisconnect)
                return;
            if (connection->isDisconnected())
                std::exchange(connection->onDisconnect, {})();
        });
}

static Request toRequest(http::request<http::string_body>& message)
{
    Request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const http::fields::value_type& field : message)
        request.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    request.body = std::move(message.body());
    return request;
}

static Response parseErrorResponse(const beast::error_code& error)
{
    Response response;
    response.status = 400;
    if (error == http::error::body_limit)
        response.status = 413;
    if (error == http::error::header_limit)
        response.status = 431;
    response.headers.push_back({ "Content-Type", "application/json" });
    response.body = R"({"error":{"code":"bad_request","ran":"not_run","step":"parse request","peer":"client","message":")"
        + error.message() + R"("}})";
    return response;
}

static Response memoryShortResponse(const ClientCapacity& capacity)
{
    return { 503, { { "Content-Type", "application/json" }, { "Retry-After", capacity.retryAfter } },
        R"({"error":{"code":"request_memory_short","ran":"not_run","step":"read request","peer":"client","message":"the memory for requests is short"}})" };
}

static Response connectionsShortResponse(const ClientCapacity& capacity)
{
    return { 503, { { "Content-Type", "application/json" }, { "Retry-After", capacity.retryAfter } },
        R"({"error":{"code":"connections_short","ran":"not_run","step":"read request","peer":"client","message":"too many connections"}})" };
}

static bool isDrainingFull(const Server::State& state)
{
    return state.drainingConnections > state.clients.capacity().maxConnections / drainingDivisor;
}

// Logs that clients were dropped, at most once in an interval.
static void logShortage(Server::State& state)
{
    Core::SteadyClock::time_point now = Core::SteadyClock::now();
    if (now - state.shortageLoggedAt < shortageLogInterval)
        return;
    state.shortageLoggedAt = now;
    const ClientTable::Counters& counters = state.clients.counters();
    Core::logEvent(clientsDropped, "listener=" + state.address.text() + " bytes=" + std::to_string(state.clients.usedBytes()) + " max_bytes=" + std::to_string(state.clients.capacity().maxBytes) + " connections=" + std::to_string(state.clients.connections()) + " max_connections=" + std::to_string(state.clients.capacity().maxConnections) + " memory_refusals=" + std::to_string(counters.memoryRefusals) + " unread_responses=" + std::to_string(counters.unreadResponses) + " closed_connections=" + std::to_string(counters.closedConnections));
}

// Sends a refusal and discards what the client still sends of its request, within bounds.
static Core::Task<void> refuse(Server::State& state, ServerConnection& connection, Response response)
{
    static constexpr bool isClosing = true;
    connection.buffer.clear();
    connection.buffer.shrink_to_fit();
    StreamWriter writer(connection, 11, false, isClosing);
    Core::Reason ignored;
    connection.stream.expires_after(errorResponseTimeout);
    bool isSent = co_await writer.send(std::move(response), ignored);
    if (!isSent || isDrainingFull(state))
        co_return;
    ++state.drainingConnections;
    beast::error_code error;
    connection.stream.socket().shutdown(tcp::socket::shutdown_send, error);
    connection.stream.expires_after(drainTimeout);
    std::vector<char> discarded(maxIdleBufferBytes);
    for (size_t bytes = 0; !error && bytes < maxDrainedBytes && !state.isClosed;) {
        auto [readError, size] = co_await connection.stream.async_read_some(asio::buffer(discarded), asTuple);
        error = readError;
        bytes += size;
    }
    --state.drainingConnections;
}

// The end of a time limit, 0 ms being unlimited.
static Core::Deadline deadlineAfter(int64_t limitMs, std::chrono::milliseconds margin = {})
{
    return limitMs > 0 ? Core::Deadline::after(std::chrono::milliseconds(limitMs) + margin) : Core::Deadline::never();
}

// The error of a read whose request was dropped.
static constexpr asio::error::basic_errors memoryShort = asio::error::no_memory;

// Reads the first bytes of a request. Returns false if the connection was closed or the idle timeout expired.
static Core::Task<bool> waitForRequest(Server::State& state, ServerConnection& connection)
{
    static constexpr size_t firstReadBytes = 4096;
    if (connection.buffer.size() > 0)
        co_return true;
    if (connection.buffer.capacity() > maxIdleBufferBytes)
        connection.buffer.shrink_to_fit();
    ReadTimeout timeout(connection.stream);
    timeout.setDeadline(deadlineAfter(state.limits.idleTimeoutMs, requestTransitTime).at());
    for (;;) {
        auto [error, size] = co_await connection.stream.async_read_some(connection.buffer.prepare(firstReadBytes), asTuple);
        connection.buffer.commit(size);
        // A dropped connection may have received a request before its read was cancelled; readRequest refuses it.
        if (!error)
            co_return true;
        // If the process did not run for a while, the timeout has expired although a request has arrived in time.
        bool isInterrupted = error == asio::error::operation_aborted && connection.hasUnreadData();
        if (!isInterrupted)
            break;
    }
    if (timeout.hasExpired())
        ++state.idleTimeouts;
    co_return false;
}

// Memory for the request that is being read. The memory that a body of known length reserves is in use only once it has arrived.
static size_t requestBytes(const ServerConnection& connection, const http::request_parser<http::string_body>& parser, size_t fieldBytes)
{
    const std::string& body = parser.get().body();
    return connection.buffer.capacity() + (parser.is_header_done() && parser.chunked() ? body.capacity() : body.size()) + fieldBytes;
}

static size_t fieldBytesOf(const http::request<http::string_body>& message)
{
    size_t bytes = 0;
    for (const http::fields::value_type& field : message)
        bytes += fieldOverheadBytes + 2 * (field.name_string().size() + field.value().size());
    return bytes;
}

struct ReadResult {
    beast::error_code error;
    size_t parsedBytes { 0 };
};

// Reads and parses as http::async_read_some does. The parser throws at fields of 64 KiB and more, which in an operation of the library
// would end the process.
static Core::Task<ReadResult> readSome(ServerConnection& connection, http::request_parser<http::string_body>& parser)
{
    static constexpr size_t maxReadBytes = 65'536;
    ReadResult result;
    for (bool needsMore = connection.buffer.size() == 0;; needsMore = true) {
        if (needsMore) {
            size_t readBytes = beast::read_size(connection.buffer, maxReadBytes);
            if (readBytes == 0) {
                result.error = http::error::buffer_overflow;
                co_return result;
            }
            auto [error, size] = co_await connection.stream.async_read_some(connection.buffer.prepare(readBytes), asTuple);
            connection.buffer.commit(size);
            result.error = error;
            if (error == asio::error::eof && parser.got_some()) {
                result.error = {};
                parser.put_eof(result.error);
            } else if (error == asio::error::eof) {
                result.error = http::error::end_of_stream;
            }
            if (error)
                co_return result;
        }
        try {
            size_t parsedBytes = parser.put(connection.buffer.data(), result.error);
            connection.buffer.consume(parsedBytes);
            result.parsedBytes += parsedBytes;
        } catch (const std::length_error&) {
            result.error = http::error::header_limit;
        }
        if (result.error != http::error::need_more)
            co_return result;
        result.error = {};
    }
}

// Reads the request whose first bytes have been received. Data that has arrived by the deadline is read also after it.
static Core::Task<beast::error_code> readRequest(ServerConnection& connection, http::request_parser<http::string_body>& parser, Core::Deadline deadline)
{
    if (connection.client.isDropped())
        co_return memoryShort;
    ReadTimeout timeout(connection.stream);
    timeout.setDeadline(deadline.at());
    // What had arrived when the timeout expired and has not been read. It limits a client that sends without pause.
    std::optional<size_t> lateBytes;
    size_t fieldBytes = 0;
    for (;;) {
        size_t bufferedBytes = connection.buffer.size();
        auto [error, parsedBytes] = co_await readSome(connection, parser);
        bool isInterrupted = error == asio::error::operation_aborted && timeout.hasExpired();
        if (parser.is_header_done() && fieldBytes == 0)
            fieldBytes = fieldBytesOf(parser.get());
        bool isReserved = connection.client.reserveRequest(requestBytes(connection, parser, fieldBytes), Core::SteadyClock::now());
        if (!isReserved)
            co_return memoryShort;
        if (error && !isInterrupted)
            co_return error;
        if (parser.is_done())
            co_return beast::error_code();
        if (!timeout.hasExpired())
            continue;
        size_t readBytes = parsedBytes + connection.buffer.size() - bufferedBytes;
        beast::error_code ignored;
        lateBytes = lateBytes ? *lateBytes - std::min(*lateBytes, readBytes) : connection.stream.socket().available(ignored);
        if (*lateBytes == 0)
            co_return beast::error::timeout;
    }
}

// Refuses a request that was not read. Connection errors and timeouts get no response.
static Core::Task<void> refuseUnread(Server::State& state, ServerConnection& connection, beast::error_code error)
{
    if (connection.client.isDropped()) {
        logShortage(state);
        bool isReplaced = connection.dropped == ClientTable::Drop::Replace;
        // A replaced connection must not keep its descriptor beyond the part of those that are discarding.
        if (isReplaced && isDrainingFull(state))
            co_return;
        if (isReplaced)
            co_await refuse(state, connection, connectionsShortResponse(state.clients.capacity()));
        else
            co_await refuse(state, connection, memoryShortResponse(state.clients.capacity()));
        co_return;
    }
    bool isParseError = error.category() == beast::error_code(http::error::bad_method).category()
        && error != http::error::end_of_stream && error != http::error::partial_message;
    if (isParseError)
        co_await refuse(state, connection, parseErrorResponse(error));
}

// Returns false for a transfer coding other than chunked. The parser treats such a request as one without a body, so its
// body would be parsed as the next request (request smuggling).
static bool hasSupportedTransferCoding(const http::request<http::string_body>& message)
{
    http::request<http::string_body>::const_iterator coding = message.find(http::field::transfer_encoding);
    return coding == message.end() || beast::iequals(coding->value(), "chunked");
}

// Reads and handles one request. Returns false if the connection must be closed.
static Core::Task<bool> serveRequest(Server::State& state, const std::shared_ptr<ServerConnection>& connectionPointer)
{
    ServerConnection& connection = *connectionPointer;
    connection.isBusy = false;
    connection.client.reserveRequest(0, {});
    connection.client.setPhase(ClientTable::Phase::Idle, Core::SteadyClock::now());
    if (!co_await waitForRequest(state, connection))
        co_return false;
    std::optional<http::request_parser<http::string_body>> parser(std::in_place);
    parser->body_limit(state.limits.maxBodyBytes);
    parser->header_limit(static_cast<std::uint32_t>(state.limits.maxHeaderBytes));
    connection.buffer.max_size(std::max(maxRequestBufferBytes, state.limits.maxHeaderBytes + maxIdleBufferBytes));
    connection.isBusy = true;
    connection.requestStartedAt = Core::SteadyClock::now();
    connection.client.setPhase(ClientTable::Phase::Reading, connection.requestStartedAt);
    beast::error_code error = co_await readRequest(connection, *parser, deadlineAfter(state.limits.requestTimeoutMs));
    if (!error && !hasSupportedTransferCoding(parser->get()))
        error = http::error::bad_transfer_encoding;
    if (error) {
        parser.reset();
        co_await refuseUnread(state, connection, error);
        co_return false;
    }
    connection.client.setPhase(ClientTable::Phase::Handling, Core::SteadyClock::now());
    StreamWriter writer(connection, parser->get().version(), parser->get().keep_alive(), state.isClosing);
    Request request = toRequest(parser->get());
    parser.reset();
    ++state.activeRequests;
    detectDisconnect(connectionPointer);
    bool hasThrown = false;
    try {
        co_await state.handler(std::move(request), writer);
    } catch (const std::exception&) {
        hasThrown = true;
    }
    connection.onDisconnect = {};
    ++connection.disconnectWaits;
    Core::Reason ignored;
    if (hasThrown && !writer.hasStarted()) {
        Response response { 500, { { "Content-Type", "application/json" } },
            R"({"error":{"code":"internal","ran":"unknown","step":"handle request","peer":"daemon","message":"internal error"}})" };
        co_await writer.send(std::move(response), ignored);
    }
    --state.activeRequests;
    if (connection.client.isDropped())
        logShortage(state);
    connection.isBusy = false;
    co_return writer.isConnectionReusable() && (!state.isClosing || connection.hasNextRequest());
}

static Core::Task<void> serveConnection(std::shared_ptr<Server::State> state, tcp::socket socket)
{
    if (state->isClosed)
        co_return;
    beast::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &tcpUserTimeoutMs, sizeof(tcpUserTimeoutMs));
    uint64_t closedBefore = state->clients.counters().closedConnections;
    bool isAdmitted = state->clients.admit();
    if (state->clients.counters().closedConnections != closedBefore)
        logShortage(*state);
    if (!isAdmitted)
        co_return;
    // Released before the state, to which it belongs.
    std::shared_ptr<ServerConnection> connection(new ServerConnection(std::move(socket), state->clients), [state](ServerConnection* ended) { delete ended; });
    state->connections.insert(connection.get());
    bool keepsAlive = true;
    try {
        while (keepsAlive)
            keepsAlive = co_await serveRequest(*state, connection);
    } catch (const std::exception&) {
        // A request for which there is no memory ends its connection.
        connection->close();
    }
    state->connections.erase(connection.get());
    connection->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    connection->close();
}

static Core::Task<void> acceptConnections(std::shared_ptr<Server::State> state)
{
    while (!state->isStopping) {
        auto [error, socket] = co_await state->acceptor.async_accept(asTuple);
        // A connection that was accepted before the stop is served.
        if (error && (state->isStopping || error == asio::error::operation_aborted))
            co_return;
        if (error) {
            // Accepting fails while the process is out of file descriptors; wait instead of spinning.
            co_await Core::sleepUntil(Core::Deadline::after(std::chrono::milliseconds(50)));
            continue;
        }
        Core::spawn(state->executor, "connection", serveConnection(state, std::move(socket)));
    }
}

// Accepts the connections that wait in the backlog, which closing the acceptor would reset.
static void acceptBacklog(const std::shared_ptr<Server::State>& state)
{
    beast::error_code error;
    state->acceptor.non_blocking(true, error);
    while (!error) {
        tcp::socket socket(state->executor);
        state->acceptor.accept(socket, error);
        if (!error)
            Core::spawn(state->executor, "connection", serveConnection(state, std::move(socket)));
    }
}

Server::Server(const asio::any_io_executor& executor, Handler handler, ServerLimits limits)
    : m_state(std::make_shared<State>(executor, std::move(handler), limits))
{
}

Server::~Server()
{
    closeAll();
}

std::optional<Core::Address> Server::listen(const Core::Address& address, Core::Reason& reason)
{
    beast::error_code error;
    tcp::endpoint endpoint(asio::ip::make_address(address.ip, error), address.port);
    if (!error)
        m_state->acceptor.open(endpoint.protocol(), error);
    if (!error)
        m_state->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        m_state->acceptor.bind(endpoint, error);
    // Accepted connections inherit the sizes.
    beast::error_code ignored;
    m_state->acceptor.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes), ignored);
    m_state->acceptor.set_option(asio::socket_base::send_buffer_size(sendBufferBytes), ignored);
    if (!error)
        m_state->acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error) {
        reason = { Core::FailureKind::Unavailable, "listen", address.text(), error.message() };
        return std::nullopt;
    }
    m_state->address = { address.ip, m_state->acceptor.local_endpoint().port() };
    Core::spawn(m_state->executor, "accept", acceptConnections(m_state));
    return m_state->address;
}

void Server::stopAccepting()
{
    acceptBacklog(m_state);
    closeAcceptor();
    closeIdle();
}

void Server::closeAcceptor()
{
    m_state->isStopping = true;
    m_state->isClosing = true;
    beast::error_code ignored;
    m_state->acceptor.close(ignored);
}

void Server::setLimits(ServerLimits limits)
{
    m_state->limits = limits;
}

void Server::setCapacity(ClientCapacity capacity)
{
    m_state->clients.setCapacity(std::move(capacity));
}

size_t Server::clientBytes() const
{
    return m_state->clients.usedBytes();
}

size_t Server::connections() const
{
    return m_state->clients.connections();
}

uint64_t Server::memoryRefusals() const
{
    return m_state->clients.counters().memoryRefusals;
}

uint64_t Server::unreadResponses() const
{
    return m_state->clients.counters().unreadResponses;
}

uint64_t Server::displacedConnections() const
{
    return m_state->clients.counters().closedConnections;
}

void Server::closeAfterResponses()
{
    m_state->isClosing = true;
}

void Server::closeIdle()
{
    for (ServerConnection* connection : m_state->connections) {
        // Closing would lose a request that a read has received and not yet returned.
        if (!connection->isBusy && !connection->hasNextRequest())
            connection->stream.cancel();
    }
}

size_t Server::activeRequests() const
{
    return m_state->activeRequests;
}

uint64_t Server::idleTimeouts() const
{
    return m_state->idleTimeouts;
}

void Server::closeAll()
{
    closeAcceptor();
    m_state->isClosed = true;
    for (ServerConnection* connection : m_state->connections)
        connection->close();
}

}
