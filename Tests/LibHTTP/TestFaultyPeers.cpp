#include "LibHTTP/Client.h"
#include "LibHTTP/Server.h"
#include "RawServer.h"
#include "RunTask.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <fstream>
#include <thread>
#include <unistd.h>

// Peers that break the protocol or stop in the middle of it, over real sockets.

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using TestSupport::RawServer;
static constexpr asio::as_tuple_t<asio::use_awaitable_t<>> asTuple(asio::use_awaitable);

namespace {

struct Fixture {
    boost::asio::io_context context;
    HTTP::Client client { context.get_executor() };
    Core::Reason reason;

    std::optional<HTTP::Response> roundTrip(const RawServer& server, std::chrono::milliseconds timeout = std::chrono::seconds(10))
    {
        return TestSupport::runTask(context, client.roundTrip(server.address(), { "GET", "/", {}, {} }, Core::Deadline::after(timeout), reason));
    }
};

}

static Core::Task<bool> readRequest(tcp::socket& socket)
{
    std::string text;
    std::array<char, 4096> bytes {};
    while (text.find("\r\n\r\n") == std::string::npos) {
        auto [error, size] = co_await socket.async_read_some(asio::buffer(bytes), asTuple);
        if (error)
            co_return false;
        text.append(bytes.data(), size);
    }
    co_return true;
}

static Core::Task<bool> write(tcp::socket& socket, std::string bytes)
{
    auto [error, size] = co_await asio::async_write(socket, asio::buffer(bytes), asTuple);
    co_return !error;
}

// Answers with the prefix and then with the filler until the peer closes.
static RawServer::Script endless(std::string prefix, std::string filler)
{
    return [prefix = std::move(prefix), filler = std::move(filler)](tcp::socket& socket) -> Core::Task<void> {
        if (!co_await readRequest(socket) || !co_await write(socket, prefix))
            co_return;
        while (co_await write(socket, filler)) { }
    };
}

static size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    size_t total = 0;
    size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<size_t>(::sysconf(_SC_PAGESIZE));
}

// Guards against a server in trouble that sends bytes without end, in each part of a response: the call has to fail soon and with
// bounded memory, although its deadline is far away and the server never closes.
Test(FaultyPeers, bytesWithoutEndAreCutOff)
{
    static constexpr size_t maxGrowth = 64 * 1024 * 1024;
    std::string block(16 * 1024, 'x');
    const std::vector<std::pair<std::string, RawServer::Script>> cases {
        { "no HTTP at all", endless("", block) },
        { "status line", endless("HTTP/1.1 200 ", block) },
        { "header line", endless("HTTP/1.1 200 OK\r\nA: ", block) },
        { "header lines", endless("HTTP/1.1 200 OK\r\n", "A: b\r\n") },
        { "informational responses", endless("", "HTTP/1.1 100 Continue\r\n\r\n") },
        { "chunk extension", endless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=", block) },
        { "chunk size", endless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", std::string(1024, '0')) },
        { "trailer", endless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nA: ", block) },
    };
    for (const auto& [name, script] : cases) {
        Fixture fixture;
        RawServer server(fixture.context, script);
        size_t before = residentBytes();
        Core::SteadyClock::time_point startedAt = Core::SteadyClock::now();
        cr_expect_not(fixture.roundTrip(server), "%s was accepted", name.c_str());
        cr_expect_lt(Core::SteadyClock::now() - startedAt, std::chrono::seconds(5), "%s was read until the deadline", name.c_str());
        cr_expect_lt(residentBytes(), before + maxGrowth, "%s was buffered", name.c_str());
    }
}

// Guards against reading the body of a late response to another request for as long as the server sends it.
Test(FaultyPeers, endlessForeignResponseIsCutOff)
{
    Fixture fixture;
    RawServer server(fixture.context, endless("HTTP/1.1 200 OK\r\nId: other\r\n\r\n", std::string(16 * 1024, 'x')));
    HTTP::CallOptions options;
    options.isExpected = [](unsigned, const HTTP::Headers& headers) { return HTTP::findHeader(headers, "Id") == "own"; };
    Core::SteadyClock::time_point startedAt = Core::SteadyClock::now();
    std::optional<std::unique_ptr<HTTP::ResponseStream>> stream = TestSupport::runTask(fixture.context,
        fixture.client.call(server.address(), { "GET", "/", {}, {} }, Core::Deadline::after(std::chrono::seconds(10)), options, fixture.reason));
    cr_assert_not(stream);
    cr_assert_lt(Core::SteadyClock::now() - startedAt, std::chrono::seconds(5));
}

// Guards against a second copy of an answer, sent late on a connection that is in use again, reaching the next caller.
Test(FaultyPeers, lateCopyOfAnAnswerIsNotTheNextAnswer)
{
    Fixture fixture;
    RawServer server(fixture.context, [](tcp::socket& socket) -> Core::Task<void> {
        std::string first = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nId: first\r\nContent-Length: 5\r\n\r\nfirst";
        co_await readRequest(socket);
        co_await write(socket, first);
        co_await readRequest(socket);
        co_await write(socket, first + "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nId: second\r\nContent-Length: 6\r\n\r\nsecond");
        co_await readRequest(socket);
    });
    for (const std::string& id : { std::string("first"), std::string("second") }) {
        HTTP::CallOptions options;
        options.isExpected = [id](unsigned, const HTTP::Headers& headers) { return HTTP::findHeader(headers, "Id") == id; };
        std::optional<std::unique_ptr<HTTP::ResponseStream>> stream = TestSupport::runTask(fixture.context,
            fixture.client.call(server.address(), { "GET", "/", {}, {} }, Core::Deadline::after(std::chrono::seconds(5)), options, fixture.reason));
        cr_assert(stream);
        std::optional<std::string> body = TestSupport::runTask(fixture.context, (*stream)->readAll(1'000, Core::Deadline::after(std::chrono::seconds(5)), fixture.reason));
        cr_assert_eq(body.value_or(""), id);
    }
    cr_assert_eq(server.connections, 1);
}

// Guards against an answer that breaks off at any byte appearing complete, with a length, in chunks, or when the connection is
// reset before the end of a body without either.
Test(FaultyPeers, answerBrokenOffAtAnyByteIsNoSuccess)
{
    const std::vector<std::string> answers { "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n" };
    for (const std::string& answer : answers) {
        for (size_t length = 0; length < answer.size(); ++length) {
            Fixture fixture;
            RawServer server(fixture.context, [bytes = answer.substr(0, length)](tcp::socket& socket) -> Core::Task<void> {
                co_await readRequest(socket);
                co_await write(socket, bytes);
            });
            cr_assert_not(fixture.roundTrip(server), "after %zu bytes of %s", length, answer.c_str());
        }
    }
    Fixture fixture;
    RawServer server(fixture.context, [](tcp::socket& socket) -> Core::Task<void> {
        co_await readRequest(socket);
        co_await write(socket, "HTTP/1.1 200 OK\r\n\r\nhalf of a bo");
        co_await Core::sleepUntil(Core::Deadline::after(std::chrono::milliseconds(50)));
        socket.set_option(asio::socket_base::linger(true, 0));
        socket.close();
    });
    cr_assert_not(fixture.roundTrip(server), "a reset ended a body without a length");
}

// Guards against a request that was abandoned during a network partition being delivered once the partition heals: closing must
// discard what has not been sent, which the peer sees as a reset.
Test(FaultyPeers, abandonedRequestIsDiscarded)
{
    Fixture fixture;
    std::optional<boost::system::error_code> end;
    RawServer server(fixture.context, [&end](tcp::socket& socket) -> Core::Task<void> {
        co_await readRequest(socket);
        std::array<char, 16> bytes {};
        auto [error, size] = co_await socket.async_read_some(asio::buffer(bytes), asTuple);
        end = error;
    });
    cr_assert_not(fixture.roundTrip(server, std::chrono::milliseconds(100)));
    TestSupport::runUntil(fixture.context, [&end] { return end.has_value(); });
    cr_assert_eq(*end, asio::error::connection_reset, "%s", end->message().c_str());
}

// Guards against the client sending a request again by itself: the repeat would be missing from the attempts and the retry budget.
Test(FaultyPeers, staleConnectionIsReportedAndNotRepeated)
{
    Fixture fixture;
    int requests = 0;
    RawServer server(fixture.context, [&requests](tcp::socket& socket) -> Core::Task<void> {
        co_await readRequest(socket);
        ++requests;
        co_await write(socket, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok");
        if (co_await readRequest(socket))
            ++requests;
    });
    cr_assert(fixture.roundTrip(server));
    int reports = 0;
    HTTP::CallOptions options;
    options.reusedConnectionFailed = [&reports] { ++reports; };
    cr_assert_not(TestSupport::runTask(fixture.context, fixture.client.call(server.address(), { "GET", "/", {}, {} }, Core::Deadline::after(std::chrono::seconds(5)), options, fixture.reason)));
    cr_assert_eq(reports, 1);
    cr_assert_eq(requests, 2);
    cr_assert_eq(server.connections, 1);
}

// Guards against a caller that stops reading holding its request, and the work of an endpoint, past the deadline.
Test(FaultyPeers, callerThatStopsReadingIsCutOffAtTheDeadline)
{
    Fixture fixture;
    bool isOver = false;
    HTTP::Server server(fixture.context.get_executor(), [&isOver](HTTP::Request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        writer.abortAt(Core::Deadline::after(std::chrono::milliseconds(200)));
        Core::Reason reason;
        std::string block(64 * 1024, 'x');
        bool isWritten = co_await writer.startStream(200, {}, reason);
        while (isWritten)
            isWritten = co_await writer.writeChunk(block, reason);
        isOver = true;
    });
    Core::Address address = server.listen({ "127.0.0.1", 0 }, fixture.reason).value();
    tcp::socket caller(fixture.context);
    caller.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), address.port));
    asio::write(caller, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    Core::SteadyClock::time_point startedAt = Core::SteadyClock::now();
    TestSupport::runUntil(fixture.context, [&isOver] { return isOver; });
    cr_assert_lt(Core::SteadyClock::now() - startedAt, std::chrono::milliseconds(1'500));
}

// Guards against the timeout of one response closing the connection while it serves the next one.
Test(FaultyPeers, timeoutOfAnEarlierResponseIsIgnored)
{
    Fixture fixture;
    HTTP::Server server(fixture.context.get_executor(), [](HTTP::Request request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        Core::Reason ignored;
        if (request.target == "/short")
            writer.abortAt(Core::Deadline::after(std::chrono::milliseconds(50)));
        else
            co_await Core::sleepUntil(Core::Deadline::after(std::chrono::milliseconds(150)));
        co_await writer.send({ 200, { { "Keep-Alive", "timeout=5" } }, "ok" }, ignored);
    });
    Core::Address address = server.listen({ "127.0.0.1", 0 }, fixture.reason).value();
    for (const char* target : { "/short", "/long" })
        cr_assert(TestSupport::runTask(fixture.context, fixture.client.roundTrip(address, { "GET", target, {}, {} }, Core::Deadline::after(std::chrono::seconds(5)), fixture.reason)));
    cr_assert_eq(fixture.client.connectionsOpened(), 1);
}

// Guards against a request without an answer because the limit of its response passed while the process did not run. The handler
// answers as soon as the process continues.
Test(FaultyPeers, responseThatIsDueWhileTheProcessDoesNotRunIsSent)
{
    Fixture fixture;
    HTTP::Server server(fixture.context.get_executor(), [](HTTP::Request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        Core::Deadline deadline = Core::Deadline::after(std::chrono::milliseconds(100));
        writer.abortAt(Core::Deadline(deadline.at() + std::chrono::milliseconds(300)));
        co_await Core::sleepUntil(deadline);
        // A refusal passes through several tasks.
        co_await Core::sleepUntil(Core::Deadline::after(std::chrono::milliseconds(0)));
        Core::Reason ignored;
        co_await writer.send({ 503, {}, "late" }, ignored);
    });
    Core::Address address = server.listen({ "127.0.0.1", 0 }, fixture.reason).value();
    tcp::socket caller(fixture.context);
    caller.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), address.port));
    asio::write(caller, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    fixture.context.run_for(std::chrono::milliseconds(50));
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    fixture.context.restart();
    fixture.context.run_for(std::chrono::milliseconds(300));
    std::string response(4096, 0);
    boost::system::error_code ignored;
    caller.non_blocking(true);
    response.resize(caller.receive(asio::buffer(response), 0, ignored));
    cr_assert(response.starts_with("HTTP/1.1 503"), "the connection was closed without an answer");
}

// Guards against a response without a length whose connection is reset appearing complete because the connection was examined before the
// response was read on: a read that examines a socket takes its error, and the next read sees the end of the connection.
Test(FaultyPeers, examinedConnectionKeepsItsReset)
{
    enum class Moment { Idle,
        Reading };
    for (Moment moment : { Moment::Idle, Moment::Reading }) {
        Fixture fixture;
        std::optional<tcp::socket> accepted;
        RawServer server(fixture.context, [&accepted](tcp::socket& socket) -> Core::Task<void> {
            if (co_await readRequest(socket))
                co_await write(socket, "HTTP/1.1 200 OK\r\n\r\nfirst part");
            accepted = std::move(socket);
        });
        Core::Deadline deadline = Core::Deadline::after(std::chrono::seconds(10));
        std::optional<std::unique_ptr<HTTP::ResponseStream>> stream
            = TestSupport::runTask(fixture.context, fixture.client.open(server.address(), { "GET", "/", {}, {} }, deadline, fixture.reason));
        cr_assert(stream);
        std::optional<std::string> part = TestSupport::runTask(fixture.context, (*stream)->readSome(deadline, fixture.reason));
        cr_assert_eq(part.value_or(""), "first part");
        TestSupport::runUntil(fixture.context, [&accepted] { return accepted.has_value(); });
        cr_assert(fixture.client.hasOpenConnection(server.address(), Core::SteadyClock::now()));
        std::optional<std::optional<std::string>> rest;
        if (moment == Moment::Reading) {
            TestSupport::startTask(fixture.context, (*stream)->readSome(deadline, fixture.reason), rest);
            fixture.context.restart();
            fixture.context.poll();
        }
        TestSupport::resetConnection(*accepted);
        cr_assert_not(fixture.client.hasOpenConnection(server.address(), Core::SteadyClock::now()));
        if (moment == Moment::Idle)
            TestSupport::startTask(fixture.context, (*stream)->readSome(deadline, fixture.reason), rest);
        TestSupport::runUntil(fixture.context, [&rest] { return rest.has_value(); });
        cr_assert_not(rest->has_value(), "a response that was reset is complete after \"%s\"", rest->value_or("").c_str());
    }
}
