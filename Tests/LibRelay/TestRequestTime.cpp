#include "RelayFixture.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <sys/socket.h>

using namespace RelayTest;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds routeTimeout = 1'000ms;
// An answer may come this long after its route's time-out.
constexpr std::chrono::milliseconds answerMargin = 500ms;

Core::Task<void> neverAnswer(const HTTP::Request&, HTTP::ResponseWriter&)
{
    co_await Core::sleepUntil(Core::Deadline::after(10s));
}

void setRouteTimeout(Fixture& fixture)
{
    std::vector<Relay::Route> routes { makeRoute("/once/", false, false, false, 2) };
    routes.front().timeoutMs = routeTimeout.count();
    Relay::Service service;
    service.name = "service";
    fixture.configuration = std::make_shared<const Relay::Configuration>(2, routes, std::vector { service }, std::vector<Relay::Workspace> {}, false, Relay::CallerLimits {});
}

// Sends a request whose body follows after a pause, as over a full link. Returns how long after its first byte the first byte of the
// answer arrives.
Core::Task<std::optional<std::chrono::milliseconds>> sendInTwoParts(Core::Address address, std::string headers, std::chrono::milliseconds pause)
{
    boost::asio::ip::tcp::socket caller(co_await boost::asio::this_coro::executor);
    caller.connect({ boost::asio::ip::make_address(address.ip), address.port });
    Core::SteadyClock::time_point startedAt = Core::SteadyClock::now();
    std::string head = "POST /once/a HTTP/1.1\r\nHost: test\r\nId: r1\r\nContent-Length: 4\r\n" + headers + "\r\n";
    co_await boost::asio::async_write(caller, boost::asio::buffer(head), boost::asio::use_awaitable);
    co_await Core::sleepUntil(Core::Deadline(startedAt + pause));
    co_await boost::asio::async_write(caller, boost::asio::buffer("body", 4), boost::asio::use_awaitable);
    char byte = 0;
    co_await caller.async_read_some(boost::asio::buffer(&byte, 1), boost::asio::use_awaitable);
    co_return std::chrono::duration_cast<std::chrono::milliseconds>(Core::SteadyClock::now() - startedAt);
}

// An address that takes no further connections: connects wait without an answer.
struct FullListener {
    FullListener()
        : acceptor(context, boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
    {
        ::listen(acceptor.native_handle(), 0);
        for (boost::asio::ip::tcp::socket& socket : pending) {
            socket.open(boost::asio::ip::tcp::v4());
            socket.native_non_blocking(true);
            // The library's connect would wait for the connection.
            ::connect(socket.native_handle(), acceptor.local_endpoint().data(), static_cast<socklen_t>(acceptor.local_endpoint().size()));
        }
    }

    Core::Address address() const { return { "127.0.0.1", acceptor.local_endpoint().port() }; }

    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor;
    std::array<boost::asio::ip::tcp::socket, 2> pending { boost::asio::ip::tcp::socket(context), boost::asio::ip::tcp::socket(context) };
};

}

// Guards against holding a request beyond its route's time-out because its body took long to arrive.
Test(RequestTime, timeoutRunsFromTheFirstByte)
{
    Fixture fixture;
    setRouteTimeout(fixture);
    fixture.answer = neverAnswer;
    std::optional<std::chrono::milliseconds> elapsed = TestSupport::runTask(fixture.context, sendInTwoParts(fixture.address, "", 700ms));
    cr_assert(elapsed && *elapsed < routeTimeout + answerMargin, "answered after %lld ms", static_cast<long long>(elapsed.value_or(0ms).count()));
}

// Guards against handing an endpoint time that passed while the request was being read.
Test(RequestTime, endpointsGetTheTimeThatIsLeft)
{
    Fixture fixture;
    setRouteTimeout(fixture);
    fixture.answer = [](const HTTP::Request& request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        Core::Reason ignored;
        co_await writer.send({ 200, sealed(request), "ok" }, ignored);
    };
    TestSupport::runTask(fixture.context, sendInTwoParts(fixture.address, "Timeout: 900\r\n", 700ms));
    cr_assert_eq(fixture.arrivals.size(), 1);
    cr_assert_leq(std::stoi(HTTP::findHeader(fixture.arrivals.front().headers, "Left").value()), 900 - 700);
}

// Guards against an answer that reaches the caller late because it has to wait in the queue of this host's link.
Test(RequestTime, answerStartsEarlierOverASlowLink)
{
    Fixture fixture;
    setRouteTimeout(fixture);
    fixture.answer = neverAnswer;
    fixture.linkDelay = 200ms;
    std::optional<std::chrono::milliseconds> elapsed = TestSupport::runTask(fixture.context, sendInTwoParts(fixture.address, "", 0ms));
    cr_assert(elapsed && *elapsed < routeTimeout, "answered after %lld ms", static_cast<long long>(elapsed.value_or(0ms).count()));
}

// Guards against beginning a request whose answer cannot reach the caller in time.
Test(RequestTime, requestIsRefusedIfTheLinkTakesAllItsTime)
{
    Fixture fixture;
    setRouteTimeout(fixture);
    fixture.answer = neverAnswer;
    fixture.linkDelay = routeTimeout;
    cr_assert_eq(fixture.call(fixture.makeRequest("/once/a"))->status, 503);
    cr_assert(fixture.arrivals.empty());
}

// Guards against holding a request until its time is over while no endpoint can be connected to: its caller could try another daemon.
Test(RequestTime, requestIsRefusedAfterAFewFailedConnects)
{
    Fixture fixture(0);
    std::array<FullListener, 8> listeners;
    for (size_t i = 0; i < listeners.size(); ++i) {
        Relay::Endpoint endpoint;
        endpoint.id = "full" + std::to_string(i);
        endpoint.service = "service";
        endpoint.address = listeners.at(i).address();
        fixture.directory.put(endpoint);
    }
    size_t timeouts = 0;
    fixture.client->onConnectAttempt([&timeouts](const HTTP::ConnectAttempt& attempt) { timeouts += attempt.outcome == HTTP::ConnectAttempt::Outcome::TimedOut ? 1 : 0; });
    std::optional<HTTP::Response> response = fixture.call(fixture.makeRequest("/once/a"));
    cr_assert_eq(response->status, 503);
    cr_assert(HTTP::findHeader(response->headers, "Retry-After").has_value());
    cr_assert_eq(timeouts, 3);
}
