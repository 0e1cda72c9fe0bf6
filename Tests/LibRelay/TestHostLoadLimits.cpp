#include "RelayFixture.h"

#include <boost/asio/ip/tcp.hpp>
#include <vector>

// Requests through a relay whose host is limited, over real sockets.

using namespace RelayTest;
using tcp = boost::asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

// A second relay beside that of Fixture, with the same parts and a limited host.
struct LimitedFixture : Fixture {
    Relay::HostLoad load;
    Relay::RequestHandler limitedHandler;
    HTTP::Server limitedRelay { context.get_executor(), [this](HTTP::Request request, HTTP::ResponseWriter& response) { return limitedHandler.handle(std::move(request), response); } };

    explicit LimitedFixture(size_t endpointCount, Relay::HostCapacity capacity)
        : Fixture(endpointCount)
        , load(capacity, 1)
        , limitedHandler(context.get_executor(), makeCodec(), makeLimitedHooks(), makeHandlerSettings(), client, selector, budgets, quarantine, metrics)
    {
        Core::Reason reason;
        address = limitedRelay.listen({ "127.0.0.1", 0 }, reason).value();
        answer = [](const HTTP::Request& request, HTTP::ResponseWriter& response) -> Core::Task<void> {
            Core::Reason ignored;
            co_await response.send({ 200, sealed(request), "ran" }, ignored);
        };
    }

    Relay::HandlerHooks makeLimitedHooks()
    {
        Relay::HandlerHooks hooks = makeHooks();
        hooks.hostLoad = &load;
        return hooks;
    }

    // Brings the host into a state in which it admits a part of the least urgent requests.
    void overload()
    {
        static constexpr size_t requestBytes = 1'000;
        Core::SteadyClock::time_point now = Core::SteadyClock::now();
        Relay::HostSample sample;
        load.record(sample, now);
        for (int i = 0; i < 100; ++i) {
            for (int k = 0; k < 10; ++k)
                sample.endpointBytesSent += load.admit(9, requestBytes) ? requestBytes : 0;
            now += milliseconds(100);
            load.record(sample, now);
        }
    }
};

// An address that completes no handshake: connects to it time out, since its backlog is full.
struct FullListener {
    boost::asio::io_context& context;
    tcp::acceptor acceptor;
    std::vector<std::unique_ptr<tcp::socket>> waiting;

    explicit FullListener(boost::asio::io_context& context)
        : context(context)
        , acceptor(context, tcp::endpoint(tcp::v4(), 0).protocol())
    {
        static constexpr int backlog = 0;
        acceptor.bind(tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        acceptor.listen(backlog);
        for (int i = 0; i < 4; ++i) {
            waiting.push_back(std::make_unique<tcp::socket>(context));
            waiting.back()->async_connect(acceptor.local_endpoint(), [](const boost::system::error_code&) {});
        }
        context.restart();
        context.run_for(milliseconds(50));
    }

    Core::Address address() const { return { "127.0.0.1", acceptor.local_endpoint().port() }; }
};

struct UnreachableFixture : LimitedFixture {
    std::vector<std::unique_ptr<FullListener>> listeners;

    UnreachableFixture()
        : LimitedFixture(0, {})
    {
        for (int i = 0; i < 2; ++i) {
            listeners.push_back(std::make_unique<FullListener>(context));
            Relay::Endpoint endpoint;
            endpoint.id = "full" + std::to_string(i);
            endpoint.service = "service";
            endpoint.address = listeners.back()->address();
            directory.put(endpoint);
            // One more failure makes the endpoint unhealthy.
            selector.recordStart(endpoint.id, Core::SteadyClock::now());
            selector.recordEnd(endpoint.id, Relay::EndpointSelector::End::Failure, Core::SteadyClock::now());
        }
    }

    int unhealthyEndpoints()
    {
        int count = 0;
        for (int i = 0; i < 2; ++i) {
            Relay::SelectionQuery query;
            query.service = "service";
            query.excluded = { "full" + std::to_string(1 - i) };
            count += selector.hasHealthy(query, Core::SteadyClock::now()) ? 0 : 1;
        }
        return count;
    }
};

}

// Load: more than the link carries. Guards against requests that run although they were refused, and against a refusal that does not bring
// the caller's retry to another host in time.
Test(HostLoadLimits, excessIsRefusedAsNotRun)
{
    LimitedFixture fixture(1, { 70'000, 0, 0 });
    Relay::Route route = makeRoute("/once/", false, false, false, 2);
    route.priority = 9;
    Relay::Workspace ordinary;
    ordinary.name = "ordinary";
    ordinary.keys = { "key" };
    Relay::Workspace urgent;
    urgent.name = "urgent";
    urgent.keys = { "urgent" };
    urgent.priority = 0;
    Relay::Service service;
    service.name = "service";
    fixture.configuration = std::make_shared<const Relay::Configuration>(1, std::vector { route }, std::vector { service }, std::vector { ordinary, urgent }, true, Relay::CallerLimits {});
    fixture.overload();
    size_t served = 0;
    size_t refused = 0;
    for (int i = 0; i < 40; ++i) {
        std::optional<HTTP::Response> response = fixture.call({ "POST", "/once/a", { { "Id", "r" + std::to_string(i) }, { "Key", "key" } }, "body" });
        cr_assert(response);
        if (response->status == 200) {
            ++served;
            continue;
        }
        ++refused;
        cr_assert_eq(response->status, 503);
        cr_assert(response->body.find("\"host_overloaded\"") != std::string::npos && response->body.find("\"not_run\"") != std::string::npos, "%s", response->body.c_str());
        double retryAfter = std::stod(HTTP::findHeader(response->headers, "Retry-After").value_or("0"));
        cr_assert(retryAfter >= 0.1 && retryAfter <= 0.3, "%f", retryAfter);
    }
    cr_assert(served >= 5 && refused >= 5, "%zu served, %zu refused", served, refused);
    cr_assert_eq(fixture.arrivals.size(), served);
    // The workspace's priority takes precedence over the route's.
    for (int i = 0; i < 20; ++i) {
        std::optional<HTTP::Response> response = fixture.call({ "POST", "/once/a", { { "Id", "u" + std::to_string(i) }, { "Key", "urgent" } }, "body" });
        cr_assert(response && response->status == 200, "request %d", i);
    }
}

// Load: connects to all endpoints time out, as behind the own full link. Guards against retries over the same link and against failures
// that are counted against the endpoints.
Test(HostLoadLimits, connectTimeoutsOfTheOwnLinkAreNotRetried)
{
    UnreachableFixture fixture;
    fixture.load.recordConnectTimeout("other1", "a", Core::SteadyClock::now());
    fixture.load.recordConnectTimeout("other2", "b", Core::SteadyClock::now());
    std::optional<HTTP::Response> response = fixture.call({ "POST", "/again/a", { { "Id", "r1" }, { "Key", "key" } }, "body" });
    cr_assert(response);
    cr_assert_eq(response->status, 503);
    cr_assert(response->body.find("\"host_overloaded\"") != std::string::npos && response->body.find("\"not_run\"") != std::string::npos, "%s", response->body.c_str());
    cr_assert_eq(fixture.client->connectionsOpened(), 1);
    cr_assert_eq(fixture.unhealthyEndpoints(), 0);
    cr_assert_eq(fixture.load.ownConnectTimeouts(), 1);
}

// Load: an endpoint ends in the middle of a resumable stream, the connect to the next one times out because of the own link, and a third one
// is there. Guards against cutting off a stream that has begun, which its caller cannot take to another host.
Test(HostLoadLimits, begunStreamResumesOverASlowLink)
{
    LimitedFixture fixture(1, {});
    FullListener full(fixture.context);
    fixture.load.recordConnectTimeout("other1", "a", Core::SteadyClock::now());
    fixture.load.recordConnectTimeout("other2", "b", Core::SteadyClock::now());
    Relay::Endpoint first = *fixture.directory.find("e0");
    fixture.answer = [&](const HTTP::Request& request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        Core::Reason reason;
        bool isFirst = fixture.arrivals.size() == 1;
        co_await writer.startStream(200, sealed(request), reason);
        co_await writer.writeChunk(isFirst ? "id: 1\ndata: a\n\n" : "id: 2\ndata: b\n\n", reason);
        if (!isFirst) {
            co_await writer.finishStream(reason);
            co_return;
        }
        Relay::Endpoint unreachable = first;
        unreachable.id = "full";
        unreachable.address = full.address();
        fixture.directory.put(unreachable);
        writer.abort();
        // While the connect is in progress.
        co_await Core::sleepUntil(Core::Deadline::after(milliseconds(20)));
        Relay::Endpoint third = first;
        third.id = "third";
        fixture.directory.put(third);
    };
    std::optional<HTTP::Response> response = fixture.call(fixture.makeRequest("/stream/a"));
    cr_assert(response);
    cr_assert_eq(response->body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "%s", response->body.c_str());
    cr_assert_eq(fixture.load.ownConnectTimeouts(), 1);
}

// Load: connects to two endpoints time out, fewer than show that the own link is the cause. The request is retried, and the failures count.
Test(HostLoadLimits, connectTimeoutsOfFewEndpointsAreTheirs)
{
    UnreachableFixture fixture;
    std::optional<HTTP::Response> response = fixture.call({ "POST", "/again/a", { { "Id", "r1" }, { "Key", "key" } }, "body" });
    cr_assert(response);
    cr_assert_eq(response->status, 503);
    cr_assert(response->body.find("\"no_endpoint\"") != std::string::npos, "%s", response->body.c_str());
    cr_assert_eq(fixture.client->connectionsOpened(), 2);
    cr_assert_eq(fixture.unhealthyEndpoints(), 2);
}

// The figures that the estimate rests on: bytes in both directions of both sides, and open connections.
Test(HostLoadLimits, trafficIsCounted)
{
    LimitedFixture fixture(1, {});
    static constexpr size_t bodyBytes = 50'000;
    std::string body(bodyBytes, 'x');
    fixture.answer = [&body](const HTTP::Request& request, HTTP::ResponseWriter& response) -> Core::Task<void> {
        Core::Reason ignored;
        co_await response.send({ 200, sealed(request), body + body }, ignored);
    };
    std::optional<HTTP::Response> response = fixture.call({ "POST", "/again/a", { { "Id", "r1" }, { "Key", "key" } }, body });
    cr_assert(response && response->status == 200);
    auto isAbout = [](uint64_t bytes, size_t expected) { return bytes >= expected && bytes < expected + 2'000; };
    const HTTP::Traffic& callers = fixture.limitedRelay.traffic();
    const HTTP::Traffic& endpoints = fixture.client->traffic();
    cr_assert(isAbout(callers.receivedBytes, bodyBytes), "%lu", static_cast<unsigned long>(callers.receivedBytes));
    cr_assert(isAbout(callers.sentBytes, 2 * bodyBytes), "%lu", static_cast<unsigned long>(callers.sentBytes));
    cr_assert(isAbout(endpoints.sentBytes, bodyBytes), "%lu", static_cast<unsigned long>(endpoints.sentBytes));
    cr_assert(isAbout(endpoints.receivedBytes, 2 * bodyBytes), "%lu", static_cast<unsigned long>(endpoints.receivedBytes));
    cr_assert_leq(fixture.client->openConnections(), 1);
}
