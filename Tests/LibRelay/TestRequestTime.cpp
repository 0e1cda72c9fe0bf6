#include "RelayFixture.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

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
