#include "RelayFixture.h"
#include <algorithm>

// Requests to endpoints that name a limit on requests a second.
using namespace RelayTest;

static constexpr double limitPerSecond = 10;
static constexpr const char* limitText = "10";

static Fixture::Answer answerWithLimit()
{
    return [](const HTTP::Request& request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        HTTP::Headers headers = sealed(request);
        headers.push_back({ "Limit", limitText });
        Core::Reason ignored;
        co_await writer.send({ 200, headers, "id: 1\ndata: a\n\n" }, ignored);
    };
}

// Most requests that an endpoint may get in the time, by the limit of the platform.
static size_t mostRequests(std::chrono::duration<double> time)
{
    return static_cast<size_t>(1.5 * limitPerSecond * time.count() + 5);
}

// Guards against sending an endpoint more requests than the limit that it has named, whatever the kind of request, and against holding
// or cutting those that it does not take.
Test(LimitedEndpoints, endpointGetsNoMoreThanItsLimit)
{
    for (const char* target : { "/once/a", "/again/a", "/stream/a" }) {
        Fixture fixture(1);
        fixture.answer = answerWithLimit();
        Core::SteadyClock::time_point startedAt = Core::SteadyClock::now();
        for (int i = 0; i < 60; ++i) {
            std::optional<HTTP::Response> response = fixture.call(fixture.makeRequest(target));
            cr_assert(response);
            cr_assert(response->status == 200 || response->status == 503, "%u", response->status);
            cr_assert(response->status == 200 || response->body.find("\"ran\":\"not_run\"") != std::string::npos, "%s", response->body.c_str());
            cr_assert(response->status == 200 || HTTP::findHeader(response->headers, "Retry-After"));
        }
        cr_assert_leq(fixture.arrivals.size(), mostRequests(Core::SteadyClock::now() - startedAt), "%s", target);
        cr_assert_geq(fixture.arrivals.size(), 2);
    }
}

// Guards against refusing requests that endpoints without a limit could serve, and against avoiding an endpoint once it names no limit.
Test(LimitedEndpoints, otherEndpointsServeWhatALimitedOneDoesNotTake)
{
    Fixture fixture(2);
    bool isLimited = true;
    fixture.answer = [&isLimited](const HTTP::Request& request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        HTTP::Headers headers = sealed(request);
        if (isLimited && HTTP::findHeader(request.headers, "Expect-Endpoint") == "e0")
            headers.push_back({ "Limit", limitText });
        Core::Reason ignored;
        co_await writer.send({ 200, headers, "ok" }, ignored);
    };
    auto arrivalsAtLimited = [&fixture] {
        return static_cast<size_t>(std::count_if(fixture.arrivals.begin(), fixture.arrivals.end(), [](const HTTP::Request& request) { return HTTP::findHeader(request.headers, "Expect-Endpoint") == "e0"; }));
    };
    Core::SteadyClock::time_point startedAt = Core::SteadyClock::now();
    for (int i = 0; i < 100; ++i)
        cr_assert_eq(fixture.call(fixture.makeRequest("/once/a"))->status, 200);
    cr_assert_leq(arrivalsAtLimited(), mostRequests(Core::SteadyClock::now() - startedAt));
    isLimited = false;
    Core::Deadline end = Core::Deadline::after(std::chrono::seconds(5));
    while (fixture.selector.limits().size() > 0 && !end.hasPassed())
        cr_assert_eq(fixture.call(fixture.makeRequest("/once/a"))->status, 200);
    cr_assert_eq(fixture.selector.limits().size(), 0);
    fixture.arrivals.clear();
    for (int i = 0; i < 100; ++i)
        cr_assert_eq(fixture.call(fixture.makeRequest("/once/a"))->status, 200);
    cr_assert_geq(arrivalsAtLimited(), 25);
}

// Guards against refusing a request at once although the next permit comes within a small part of its latency objective.
Test(LimitedEndpoints, requestWaitsShortlyForAPermit)
{
    Fixture fixture(1);
    fixture.answer = answerWithLimit();
    // The permits of 10 requests a second are 100 ms apart; the routes' objective allows a wait of 250 ms.
    for (int i = 0; i < 6; ++i)
        cr_assert_eq(fixture.call(fixture.makeRequest("/once/a"))->status, 200, "request %d", i);
}

// The configuration of the fixture with a limit for cold endpoints.
static std::map<std::string, Relay::Service> servicesWithColdLimit()
{
    Relay::Service service;
    service.name = "service";
    service.coldPerSecond = limitPerSecond;
    service.coldTimeMs = 10'000;
    return { { "service", service } };
}

// Guards against sending a cold endpoint more requests than it tolerates, whatever the kind of request, and against holding those that it
// does not take.
Test(LimitedEndpoints, coldEndpointGetsNoMoreThanItTolerates)
{
    for (const char* target : { "/once/a", "/again/a", "/stream/a" }) {
        Fixture fixture(1);
        fixture.answer = [](const HTTP::Request& request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
            Core::Reason ignored;
            co_await writer.send({ 200, sealed(request), "id: 1\ndata: a\n\n" }, ignored);
        };
        fixture.selector.cold().setServices(servicesWithColdLimit());
        fixture.selector.cold().observe(*fixture.directory.find("e0"), 1, Core::SteadyClock::now());
        Core::SteadyClock::time_point startedAt = Core::SteadyClock::now();
        for (int i = 0; i < 25; ++i) {
            std::optional<HTTP::Response> response = fixture.call(fixture.makeRequest(target));
            cr_assert(response);
            cr_assert(response->status == 200 || (response->status == 503 && HTTP::findHeader(response->headers, "Retry-After")), "%u", response->status);
        }
        cr_assert_leq(fixture.arrivals.size(), mostRequests(Core::SteadyClock::now() - startedAt), "%s", target);
        cr_assert_geq(fixture.arrivals.size(), 2);
    }
}

// Guards against requests that arrive long after the second for which their permit was issued.
Test(LimitedEndpoints, oldPermitForAColdEndpointIsNotUsed)
{
    Fixture fixture(1);
    fixture.answer = [](const HTTP::Request& request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        Core::Reason ignored;
        co_await writer.send({ 200, sealed(request), "ok" }, ignored);
    };
    fixture.selector.cold().setServices(servicesWithColdLimit());
    Relay::Endpoint endpoint = *fixture.directory.find("e0");
    endpoint.coldLeftMs = 3'000;
    fixture.selector.cold().observe(endpoint, 1, Core::SteadyClock::now());
    fixture.permitDelay = Relay::ColdEndpoints::maxPermitAge + std::chrono::milliseconds(50);
    std::optional<HTTP::Response> response = fixture.call(fixture.makeRequest("/once/a"));
    cr_assert_eq(response->status, 503);
    cr_assert(response->body.find("\"ran\":\"not_run\"") != std::string::npos, "%s", response->body.c_str());
    cr_assert_eq(fixture.arrivals.size(), 0);
    fixture.permitDelay = std::chrono::milliseconds(0);
    cr_assert_eq(fixture.call(fixture.makeRequest("/once/a"))->status, 200);
}

// Guards against a request that spends its time on one issuer after another when they do not answer.
Test(LimitedEndpoints, noFurtherIssuerIsAskedAfterATimeout)
{
    for (bool hasWarmEndpoint : { false, true }) {
        Fixture fixture(4);
        fixture.answer = [](const HTTP::Request& request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
            Core::Reason ignored;
            co_await writer.send({ 200, sealed(request), "ok" }, ignored);
        };
        fixture.silentIssuer = Core::Address { "10.0.0.1", 1 };
        // Own shares are small enough not to be granted.
        fixture.daemons = 100'000;
        fixture.selector.cold().setServices(servicesWithColdLimit());
        for (int i = 0; i < 4; ++i) {
            Relay::Endpoint endpoint = *fixture.directory.find("e" + std::to_string(i));
            endpoint.coldLeftMs = i == 0 && hasWarmEndpoint ? 0 : 3'000;
            fixture.selector.cold().observe(endpoint, 1, Core::SteadyClock::now());
        }
        if (hasWarmEndpoint)
            fixture.selector.recordOverload("e0", Core::SteadyClock::now());
        std::optional<HTTP::Response> response = fixture.call(fixture.makeRequest("/once/a"));
        cr_assert_eq(response->status, hasWarmEndpoint ? 200 : 503);
        cr_assert_eq(fixture.permitCalls, 1);
        cr_assert_eq(fixture.arrivals.size(), hasWarmEndpoint ? 1 : 0);
    }
}
