#include "LibHTTP/Server.h"
#include "RunTask.h"

#include <array>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <sys/socket.h>
#include <thread>

// Kept connections whose next request and whose closing are close to each other.

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds timeout(200);
// How much longer than the idle timeout the server waits.
constexpr std::chrono::milliseconds requestTransitTime(3'000);
constexpr const char* request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

struct Fixture {
    asio::io_context context;
    HTTP::Server server { context.get_executor(), [this](HTTP::Request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
                             ++requests;
                             Core::Reason ignored;
                             co_await writer.send({ 200, {}, "ok" }, ignored);
                         },
        HTTP::ServerLimits { 1024, 4096, timeout.count(), timeout.count() } };
    tcp::socket caller { context };
    size_t requests { 0 };

    Fixture()
    {
        Core::Reason reason;
        Core::Address address = server.listen({ "127.0.0.1", 0 }, reason).value();
        caller.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), address.port));
    }

    void send() { asio::write(caller, asio::buffer(std::string(request))); }

    void runFor(std::chrono::milliseconds duration)
    {
        context.restart();
        context.run_for(duration);
    }

    // Runs the server until it has answered or closed the connection. Returns the response, which is empty if the connection was
    // closed.
    std::string receive()
    {
        TestSupport::runUntil(context, [this] {
            char byte = 0;
            return ::recv(caller.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 || errno != EAGAIN;
        });
        std::string response(4096, 0);
        boost::system::error_code ignored;
        response.resize(caller.receive(asio::buffer(response), 0, ignored));
        return response;
    }
};

}

// Guards against a request that was sent within the idle timeout getting no answer because a slow link delayed it past the timeout.
Test(IdleConnections, requestThatALinkDelaysIsServed)
{
    Fixture fixture;
    fixture.send();
    cr_assert(fixture.receive().starts_with("HTTP/1.1 200"));
    fixture.runFor(4 * timeout);
    fixture.send();
    cr_assert(fixture.receive().starts_with("HTTP/1.1 200"), "the connection was closed without an answer");
}

// Guards against the loss of a request that arrived on a kept connection before the idle timeout, which ended while the process did
// not run, for example because it decoded a large configuration.
Test(IdleConnections, requestThatArrivedWhileTheProcessDidNotRunIsServed)
{
    Fixture fixture;
    fixture.send();
    cr_assert(fixture.receive().starts_with("HTTP/1.1 200"));
    // The server waits for the next request.
    fixture.runFor(timeout / 4);
    fixture.send();
    std::this_thread::sleep_for(timeout + requestTransitTime);
    cr_assert(fixture.receive().starts_with("HTTP/1.1 200"), "the connection was closed without an answer");
}

// Guards against the loss of the first requests of connections that arrived before the idle timeout while the process did not run. They
// are more than the reactor takes from the kernel at once.
Test(IdleConnections, firstRequestsThatArrivedWhileTheProcessDidNotRunAreServed)
{
    static constexpr size_t connectionCount = 400;
    Fixture fixture;
    std::vector<tcp::socket> callers;
    for (size_t i = 0; i < connectionCount; ++i) {
        callers.emplace_back(fixture.context);
        callers.back().connect(fixture.caller.remote_endpoint());
    }
    fixture.context.poll();
    for (tcp::socket& caller : callers)
        asio::write(caller, asio::buffer(std::string(request)));
    std::this_thread::sleep_for(timeout + requestTransitTime);
    fixture.runFor(timeout);
    cr_assert_eq(fixture.requests, connectionCount);
}

// Guards against the loss of a request whose last bytes arrived before the request timeout, which ended while the process did not
// run.
Test(IdleConnections, requestThatWasCompletedWhileTheProcessDidNotRunIsServed)
{
    Fixture fixture;
    fixture.send();
    cr_assert(fixture.receive().starts_with("HTTP/1.1 200"));
    asio::write(fixture.caller, asio::buffer(std::string("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbo")));
    fixture.runFor(timeout / 4);
    asio::write(fixture.caller, asio::buffer(std::string("dy")));
    std::this_thread::sleep_for(2 * timeout);
    cr_assert(fixture.receive().starts_with("HTTP/1.1 200"), "the connection was closed without an answer");
}

// Guards against a stop that closes a connection as idle although a request has arrived on it and has not been read.
Test(IdleConnections, requestThatArrivedBeforeAStopIsAnswered)
{
    Fixture fixture;
    fixture.send();
    cr_assert(fixture.receive().starts_with("HTTP/1.1 200"));
    fixture.send();
    fixture.server.stopAccepting();
    cr_assert(fixture.receive().starts_with("HTTP/1.1 200"), "the connection was closed without an answer");
    cr_assert_eq(fixture.receive(), "", "the connection stayed open after the stop");
}

// Guards against a stop that resets a connection which the process has not accepted yet.
Test(IdleConnections, connectionThatWaitsForAStoppingServerIsServed)
{
    Fixture fixture;
    fixture.send();
    fixture.server.stopAccepting();
    cr_assert(fixture.receive().starts_with("HTTP/1.1 200"), "the connection was reset");
}

// Guards against callers that hold connections for ever, idle or by sending a request without end byte by byte.
Test(IdleConnections, idleAndSlowConnectionsAreClosed)
{
    Fixture idle;
    idle.send();
    cr_assert(idle.receive().starts_with("HTTP/1.1 200"));
    cr_assert_eq(idle.receive(), "");
    TestSupport::runUntil(idle.context, [&idle] { return idle.server.idleTimeouts() == 1; });
    Fixture slow;
    Core::Deadline limit = Core::Deadline::after(std::chrono::seconds(20));
    boost::system::error_code error;
    while (!error && !limit.hasPassed()) {
        asio::write(slow.caller, asio::buffer("G", 1), error);
        slow.runFor(std::chrono::milliseconds(5));
    }
    cr_assert(error, "the connection was not closed");
    cr_assert_eq(slow.requests, 0);
}

// Guards against a client that holds a connection past the request timeout by sending without pause.
Test(IdleConnections, requestThatIsSentWithoutPauseIsEndedByTheRequestTimeout)
{
    // Longer than the timeout by a margin for a busy machine.
    static constexpr std::chrono::milliseconds limit(3'000);
    // Chunk extensions don't count towards the limit of the body.
    for (size_t extensionBytes : { 0, 100, 10'000, 500'000 }) {
        Fixture fixture;
        fixture.server.setLimits({ 1024 * 1024 * 1024, 4096, timeout.count(), timeout.count() });
        std::atomic<bool> isDone { false };
        std::thread sender([&] {
            boost::system::error_code error;
            asio::write(fixture.caller, asio::buffer(std::string("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")), error);
            std::string chunk = "1;" + std::string(extensionBytes, 'e') + "\r\nx\r\n";
            while (!error && !isDone)
                asio::write(fixture.caller, asio::buffer(chunk), error);
            isDone = true;
        });
        Core::Deadline end = Core::Deadline::after(limit);
        while (!isDone && !end.hasPassed())
            fixture.runFor(std::chrono::milliseconds(5));
        bool wasClosed = isDone.exchange(true);
        fixture.server.closeAll();
        fixture.runFor(timeout);
        sender.join();
        cr_expect(wasClosed, "with %zu bytes per extension, the connection was open after %d ms", extensionBytes, static_cast<int>(limit.count()));
    }
}

// Guards against a handler that is called after closeAll, when its owner may have been destroyed, for a connection that had been
// accepted but not yet served.
Test(IdleConnections, connectionsAcceptedBeforeCloseAllAreNotServed)
{
    static constexpr size_t maxSteps = 3;
    for (size_t steps = 0; steps < maxSteps; ++steps) {
        Fixture fixture;
        fixture.send();
        for (size_t step = 0; step < steps; ++step)
            fixture.context.poll_one();
        fixture.server.stopAccepting();
        fixture.server.closeAll();
        fixture.runFor(timeout);
        cr_expect_eq(fixture.requests, 0, "the handler was called after %zu steps", steps);
    }
}

// Guards against a stop that closes a connection which has been accepted but not yet served. The moment of the stop is varied, since
// the connection passes through several steps of the event loop.
Test(IdleConnections, connectionsAcceptedDuringAStopAreServed)
{
    static constexpr size_t maxSteps = 12;
    for (size_t steps = 0; steps < maxSteps; ++steps) {
        Fixture fixture;
        tcp::socket second(fixture.context);
        second.connect(fixture.caller.remote_endpoint());
        fixture.send();
        asio::write(second, asio::buffer(std::string(request)));
        for (size_t step = 0; step < steps; ++step)
            fixture.context.poll_one();
        fixture.server.stopAccepting();
        cr_expect(fixture.receive().starts_with("HTTP/1.1 200"), "the first connection was closed after %zu steps", steps);
        std::swap(fixture.caller, second);
        cr_expect(fixture.receive().starts_with("HTTP/1.1 200"), "the second connection was closed after %zu steps", steps);
    }
}

// Guards against a request that is lost because the response before it closes the connection: requests that have arrived are served, and
// only the last response announces the end.
Test(IdleConnections, closeAfterResponseLosesNoRequest)
{
    asio::io_context context;
    int requests = 0;
    HTTP::Server server(context.get_executor(), [&requests](HTTP::Request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        ++requests;
        writer.closeAfterResponse();
        Core::Reason ignored;
        co_await writer.send({ 200, {}, "ok" }, ignored);
    });
    Core::Reason reason;
    Core::Address address = server.listen({ "127.0.0.1", 0 }, reason).value();
    tcp::socket caller(context);
    caller.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), address.port));
    asio::write(caller, asio::buffer(std::string(request) + request + request));
    std::string received;
    bool isClosed = false;
    std::array<char, 4096> bytes {};
    std::function<void()> read = [&] {
        caller.async_read_some(asio::buffer(bytes), [&](const boost::system::error_code& error, size_t size) {
            received.append(bytes.data(), size);
            isClosed = error == asio::error::eof;
            if (!error)
                read();
        });
    };
    read();
    TestSupport::runUntil(context, [&isClosed] { return isClosed; });
    cr_assert_eq(requests, 3);
    static const std::string announcement = "Connection: close";
    size_t first = received.find(announcement);
    cr_assert_neq(first, std::string::npos, "%s", received.c_str());
    cr_assert_eq(received.find(announcement, first + 1), std::string::npos, "%s", received.c_str());
    cr_assert_eq(received.find("HTTP/1.1 200", first), std::string::npos, "%s", received.c_str());
}
