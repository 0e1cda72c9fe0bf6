#include "LibHTTP/Server.h"

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
#include <sys/socket.h>

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
    std::set<ServerConnection*> connections;
    size_t activeRequests { 0 };
    uint64_t idleTimeouts { 0 };
    Traffic traffic {};
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

// The end of a time limit, 0 ms being unlimited.
static Core::Deadline deadlineAfter(int64_t limitMs, std::chrono::milliseconds margin = {})
{
    return limitMs > 0 ? Core::Deadline::after(std::chrono::milliseconds(limitMs) + margin) : Core::Deadline::never();
}

// Reads the first bytes of a request. Returns false if the connection was closed or the idle timeout expired.
static Core::Task<bool> waitForRequest(Server::State& state, ServerConnection& connection)
{
    static constexpr size_t firstReadBytes = 4096;
    if (connection.buffer.size() > 0)
        co_return true;
    ReadTimeout timeout(connection.stream);
    timeout.setDeadline(deadlineAfter(state.limits.idleTimeoutMs, requestTransitTime).at());
    for (;;) {
        auto [error, size] = co_await connection.stream.async_read_some(connection.buffer.prepare(firstReadBytes), asTuple);
        connection.buffer.commit(size);
        state.traffic.receivedBytes += size;
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

// Reads the request whose first bytes have been received. Data that has arrived by the deadline is read also after it.
static Core::Task<beast::error_code> readRequest(Server::State& state, ServerConnection& connection, http::request_parser<http::string_body>& parser, Core::Deadline deadline)
{
    ReadTimeout timeout(connection.stream);
    timeout.setDeadline(deadline.at());
    // What had arrived when the timeout expired and has not been read. It limits a client that sends without pause.
    std::optional<size_t> lateBytes;
    for (;;) {
        size_t bufferedBytes = connection.buffer.size();
        auto [error, parsedBytes] = co_await http::async_read_some(connection.stream, connection.buffer, parser, asTuple);
        state.traffic.receivedBytes += parsedBytes + connection.buffer.size() - bufferedBytes;
        bool isInterrupted = error == asio::error::operation_aborted && timeout.hasExpired();
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

// Sends an error response to a request that could not be parsed. Connection errors and timeouts get no response.
static Core::Task<void> sendParseError(ServerConnection& connection, const beast::error_code& error)
{
    bool isParseError = error.category() == beast::error_code(http::error::bad_method).category()
        && error != http::error::end_of_stream && error != http::error::partial_message;
    if (!isParseError)
        co_return;
    static constexpr bool isClosing = true;
    Traffic uncounted;
    StreamWriter writer(connection, 11, false, isClosing, uncounted);
    Core::Reason ignored;
    connection.stream.expires_after(errorResponseTimeout);
    co_await writer.send(parseErrorResponse(error), ignored);
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
    if (!co_await waitForRequest(state, connection))
        co_return false;
    http::request_parser<http::string_body> parser;
    parser.body_limit(state.limits.maxBodyBytes);
    parser.header_limit(static_cast<std::uint32_t>(state.limits.maxHeaderBytes));
    connection.isBusy = true;
    beast::error_code error = co_await readRequest(state, connection, parser, deadlineAfter(state.limits.requestTimeoutMs));
    if (!error && !hasSupportedTransferCoding(parser.get()))
        error = http::error::bad_transfer_encoding;
    if (error) {
        co_await sendParseError(connection, error);
        co_return false;
    }
    StreamWriter writer(connection, parser.get().version(), parser.get().keep_alive(), state.isClosing, state.traffic);
    ++state.activeRequests;
    detectDisconnect(connectionPointer);
    bool hasThrown = false;
    try {
        co_await state.handler(toRequest(parser.get()), writer);
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
    std::shared_ptr<ServerConnection> connection = std::make_shared<ServerConnection>(std::move(socket));
    state->connections.insert(connection.get());
    bool keepsAlive = true;
    while (keepsAlive)
        keepsAlive = co_await serveRequest(*state, connection);
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
    if (!error)
        m_state->acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error) {
        reason = { Core::FailureKind::Unavailable, "listen", address.text(), error.message() };
        return std::nullopt;
    }
    Core::spawn(m_state->executor, "accept", acceptConnections(m_state));
    return Core::Address { address.ip, m_state->acceptor.local_endpoint().port() };
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

size_t Server::openConnections() const
{
    return m_state->connections.size();
}

const Traffic& Server::traffic() const
{
    return m_state->traffic;
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
