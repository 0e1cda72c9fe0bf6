#include "RelayFixture.h"

// Requests while failure domains are evacuated.
using namespace RelayTest;
using std::chrono::milliseconds;

static constexpr std::chrono::seconds callTimeout(20);

static Core::Task<void> answerOk(const HTTP::Request& request, HTTP::ResponseWriter& writer)
{
    Core::Reason ignored;
    co_await writer.send({ 200, sealed(request), "ok" }, ignored);
}

static Core::Task<bool> sleepFor(milliseconds time)
{
    co_await Core::sleepUntil(Core::Deadline::after(time));
    co_return true;
}

static std::string expectedEndpoint(const HTTP::Request& request)
{
    return HTTP::findHeader(request.headers, "Expect-Endpoint").value_or("");
}

namespace {

// Endpoint "e0" is in failure domain "zone-0", and so on.
struct EvacuationFixture : Fixture {
    Relay::EvacuationSet evacuations { "evacuations/", {} };

    explicit EvacuationFixture(size_t endpointCount = 2)
        : Fixture(endpointCount)
    {
        selector.setEvacuations(evacuations);
        for (size_t i = 0; i < endpointCount; ++i) {
            Relay::Endpoint endpoint = *directory.find("e" + std::to_string(i));
            endpoint.failureDomain = domainOf(endpoint.id);
            directory.put(endpoint);
        }
        answer = answerOk;
    }

    static std::string domainOf(const std::string& endpoint) { return "zone-" + endpoint.substr(1); }
    void evacuate(const std::string& endpoint) { evacuations.adopt({ { "evacuations/" + domainOf(endpoint), 1, "{}" }, false }); }
    void lift(const std::string& endpoint) { evacuations.adopt({ { "evacuations/" + domainOf(endpoint), 1, "{}" }, true }); }

    // Runs until a request is about to be sent to an endpoint other than this one, and returns the endpoint's id.
    std::string runUntilConnecting(const std::string& other)
    {
        std::string chosen;
        TestSupport::runUntil(context, [&] {
            for (const auto& [id, endpoint] : directory.endpoints())
                chosen = id != other && selector.inFlight(id) > 0 ? id : chosen;
            return !chosen.empty();
        });
        return chosen;
    }

    void start(HTTP::Client& caller, const std::string& target, std::optional<std::optional<HTTP::Response>>& response)
    {
        static Core::Reason ignored;
        TestSupport::startTask(context, caller.roundTrip(address, makeRequest(target), Core::Deadline::after(callTimeout), ignored), response);
    }
};

}

// Guards against sending a request whose connection was being established when its endpoint was evacuated, against counting that as the
// endpoint's failure, and against running it twice.
Test(EvacuatedEndpoints, requestIsNotSentIfItsEndpointIsEvacuatedWhileItIsConnected)
{
    for (const char* target : { "/once/a", "/again/a" }) {
        EvacuationFixture fixture;
        HTTP::Client caller(fixture.context.get_executor());
        std::optional<std::optional<HTTP::Response>> response;
        fixture.start(caller, target, response);
        std::string chosen = fixture.runUntilConnecting("");
        fixture.evacuate(chosen);
        TestSupport::runUntil(fixture.context, [&response] { return response.has_value(); });
        cr_assert_eq((*response)->status, 200);
        cr_assert_eq(fixture.arrivals.size(), 1);
        cr_assert_neq(expectedEndpoint(fixture.arrivals.at(0)), chosen);
        cr_assert_eq(fixture.selector.inFlight(chosen), 0);
        fixture.lift(chosen);
        bool isChosenAgain = false;
        for (int i = 0; i < 100; ++i)
            isChosenAgain = isChosenAgain || fixture.selector.choose({ "service", false, 0, {} }, Core::SteadyClock::now())->id == chosen;
        cr_assert(isChosenAgain);
    }
}

// Guards against charging the fleet's retry budget for requests that were withheld: with a budget of 3 retries, the fourth of these
// requests would be refused. Each is refused by one endpoint and withheld from the next.
Test(EvacuatedEndpoints, withheldRequestsSpendNoRetryBudget)
{
    static constexpr int rounds = 3;
    EvacuationFixture fixture(rounds * 3);
    for (int round = 0; round < rounds; ++round) {
        std::string refusing;
        fixture.arrivals.clear();
        fixture.answer = [&fixture, &refusing](const HTTP::Request& request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
            if (fixture.arrivals.size() > 1) {
                co_await answerOk(request, writer);
                co_return;
            }
            refusing = expectedEndpoint(request);
            Core::Reason ignored;
            co_await writer.send({ 503, { { "Id", "r1" }, { "Not-Run", "1" } }, "" }, ignored);
        };
        HTTP::Client caller(fixture.context.get_executor());
        std::optional<std::optional<HTTP::Response>> response;
        fixture.start(caller, "/once/a", response);
        TestSupport::runUntil(fixture.context, [&refusing] { return !refusing.empty(); });
        std::string withheld = fixture.runUntilConnecting(refusing);
        fixture.evacuate(withheld);
        TestSupport::runUntil(fixture.context, [&response] { return response.has_value(); });
        cr_assert_eq((*response)->status, 200, "round %d: %s", round, (*response)->body.c_str());
        cr_assert_eq(fixture.arrivals.size(), 2);
        cr_assert_neq(expectedEndpoint(fixture.arrivals.at(1)), withheld);
        // The endpoints of the next round have no connections yet.
        fixture.evacuate(refusing);
        fixture.evacuate(expectedEndpoint(fixture.arrivals.at(1)));
    }
}

// Guards against sending a request after its wait for a permit to an endpoint that was evacuated in the meantime, and against holding it
// until its deadline.
Test(EvacuatedEndpoints, requestThatWaitsForAPermitIsNotSent)
{
    EvacuationFixture fixture(1);
    fixture.answer = [](const HTTP::Request& request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        HTTP::Headers headers = sealed(request);
        headers.push_back({ "Limit", "10" });
        Core::Reason ignored;
        co_await writer.send({ 200, headers, "ok" }, ignored);
    };
    // The permits of 10 requests a second are 100 ms apart. Uses up those at hand.
    for (int i = 0; i < 5; ++i)
        fixture.call(fixture.makeRequest("/once/a"));
    size_t before = fixture.arrivals.size();
    HTTP::Client caller(fixture.context.get_executor());
    std::optional<std::optional<HTTP::Response>> response;
    fixture.start(caller, "/once/a", response);
    TestSupport::runTask(fixture.context, sleepFor(milliseconds(20)));
    bool wasWaiting = !response && fixture.arrivals.size() == before;
    fixture.evacuate("e0");
    TestSupport::runUntil(fixture.context, [&response] { return response.has_value(); });
    cr_assert(wasWaiting);
    cr_assert_eq((*response)->status, 503);
    cr_assert((*response)->body.find("\"ran\":\"not_run\"") != std::string::npos, "%s", (*response)->body.c_str());
    cr_assert_eq(fixture.arrivals.size(), before);
}

// Guards against sending a request that waits for its tokens, in a store that is away, to an endpoint that was evacuated meanwhile.
Test(EvacuatedEndpoints, requestThatWaitsForTokensIsNotSent)
{
    EvacuationFixture fixture;
    fixture.store.setDelay(milliseconds(100));
    HTTP::Client caller(fixture.context.get_executor());
    std::optional<std::optional<HTTP::Response>> response;
    Core::Reason ignored;
    TestSupport::startTask(fixture.context, caller.roundTrip(fixture.address, fixture.makeRequest("/once/a", { { "Tokens", "20" } }), Core::Deadline::after(callTimeout), ignored), response);
    size_t writes = fixture.store.writes();
    TestSupport::runUntil(fixture.context, [&] { return fixture.store.writes() > writes || fixture.store.reads() > 0; });
    cr_assert(fixture.arrivals.empty());
    fixture.evacuate("e0");
    TestSupport::runUntil(fixture.context, [&response] { return response.has_value(); });
    cr_assert_eq((*response)->status, 200, "%s", (*response)->body.c_str());
    cr_assert_eq(fixture.arrivals.size(), 1);
    cr_assert_eq(expectedEndpoint(fixture.arrivals.at(0)), "e1");
}

// Guards against repeating a request on a fresh connection at an endpoint that was evacuated while the endpoint closed the reused one.
Test(EvacuatedEndpoints, requestIsNotRepeatedAtAnEvacuatedEndpoint)
{
    EvacuationFixture fixture;
    fixture.evacuate("e1");
    cr_assert_eq(fixture.call(fixture.makeRequest("/again/a"))->status, 200);
    fixture.answer = [&fixture](const HTTP::Request& request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        if (expectedEndpoint(request) == "e1") {
            co_await answerOk(request, writer);
            co_return;
        }
        fixture.evacuate("e0");
        fixture.lift("e1");
        writer.abort();
    };
    cr_assert_eq(fixture.call(fixture.makeRequest("/again/a", { { "Parts", "p" } }))->status, 200);
    cr_assert_eq(fixture.arrivals.size(), 3);
    cr_assert_eq(expectedEndpoint(fixture.arrivals.at(1)), "e0");
    cr_assert_eq(expectedEndpoint(fixture.arrivals.at(2)), "e1");
}

// Guards against holding requests while all failure domains are evacuated, and against refusals that do not tell when to retry.
Test(EvacuatedEndpoints, requestsAreRefusedAtOnceIfAllAreEvacuated)
{
    EvacuationFixture fixture;
    fixture.evacuate("e0");
    fixture.evacuate("e1");
    fixture.store.setOutage(true);
    for (const char* target : { "/once/a", "/again/a", "/stream/a" }) {
        Core::SteadyClock::time_point startedAt = Core::SteadyClock::now();
        std::optional<HTTP::Response> response = fixture.call(fixture.makeRequest(target, { { "Tokens", "20" } }));
        cr_assert_lt(Core::SteadyClock::now() - startedAt, milliseconds(200));
        cr_assert_eq(response->status, 503);
        cr_assert(response->body.find("\"ran\":\"not_run\"") != std::string::npos, "%s", response->body.c_str());
        cr_assert(response->body.find("2 endpoints are evacuated") != std::string::npos, "%s", response->body.c_str());
        cr_assert(HTTP::findHeader(response->headers, "Retry-After"));
    }
    cr_assert(fixture.arrivals.empty());
    fixture.lift("e1");
    cr_assert_eq(fixture.call(fixture.makeRequest("/once/a"))->status, 200);
    cr_assert_eq(expectedEndpoint(fixture.arrivals.at(0)), "e1");
}

// Guards against cutting or moving a stream in progress at an evacuated endpoint, and against status requests there while it is silent.
Test(EvacuatedEndpoints, silentStreamRunsOnWithoutStatusRequests)
{
    EvacuationFixture fixture;
    fixture.answer = [&fixture](const HTTP::Request& request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        Core::Reason reason;
        co_await writer.startStream(200, sealed(request), reason);
        co_await writer.writeChunk("id: 1\ndata: a\n\n", reason);
        fixture.evacuate(expectedEndpoint(request));
        // Several limits of silence.
        co_await Core::sleepUntil(Core::Deadline::after(milliseconds(500)));
        co_await writer.writeChunk("id: 2\ndata: b\n\n", reason);
        co_await writer.finishStream(reason);
    };
    cr_assert_eq(fixture.call(fixture.makeRequest("/stream/a"))->body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    cr_assert_eq(fixture.arrivals.size(), 1);
    cr_assert_eq(fixture.statusRequests, 0);
}

// Guards against holding a stream until its deadline whose evacuated endpoint is gone without a reset: its address takes no connections.
Test(EvacuatedEndpoints, silentStreamIsMovedIfItsEndpointIsGone)
{
    EvacuationFixture fixture;
    fixture.answer = [&fixture](const HTTP::Request& request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        Core::Reason reason;
        if (HTTP::findHeader(request.headers, "Last-Event")) {
            co_await writer.send({ 200, sealed(request), "id: 2\ndata: b\n\n" }, reason);
            co_return;
        }
        co_await writer.startStream(200, sealed(request), reason);
        co_await writer.writeChunk("id: 1\ndata: a\n\n", reason);
        std::string endpoint = expectedEndpoint(request);
        fixture.evacuate(endpoint);
        fixture.endpoints.at(std::stoul(endpoint.substr(1)))->stopAccepting();
        co_await Core::sleepUntil(Core::Deadline::after(callTimeout));
    };
    cr_assert_eq(fixture.call(fixture.makeRequest("/stream/a"))->body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    cr_assert_eq(fixture.arrivals.size(), 2);
    cr_assert_eq(fixture.statusRequests, 0);
}

// Guards against a status request to an evacuated endpoint after an answer or a broken connection, which examine whether the engine
// still runs.
Test(EvacuatedEndpoints, enginesGetNoStatusRequestsWhileEvacuated)
{
    for (bool isBroken : { false, true }) {
        EvacuationFixture fixture;
        fixture.answer = [&fixture, isBroken](const HTTP::Request& request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
            Core::Reason reason;
            fixture.evacuate("e0");
            fixture.evacuate("e1");
            if (isBroken) {
                writer.abort();
                co_return;
            }
            HTTP::Headers headers = sealed(request);
            headers.push_back({ "Connection", "close" });
            co_await writer.send({ 200, headers, "ok" }, reason);
        };
        std::optional<HTTP::Response> response = fixture.call(fixture.makeRequest("/again/a", { { "Parts", "p,q" } }));
        cr_assert_eq(response->status, isBroken ? 502 : 200, "%s", response->body.c_str());
        TestSupport::runTask(fixture.context, sleepFor(milliseconds(400)));
        cr_assert_eq(fixture.arrivals.size(), 1);
        cr_assert_eq(fixture.statusRequests, 0);
    }
}
