#include "RelayFixture.h"

// What endpoints say about themselves in their answers.
using namespace RelayTest;

static constexpr std::chrono::seconds callTimeout(20);

static Core::Task<void> send(HTTP::ResponseWriter& writer, HTTP::Response response)
{
    Core::Reason ignored;
    co_await writer.send(std::move(response), ignored);
}

static Core::Task<bool> waitUntil(Core::Deadline deadline)
{
    co_await Core::sleepUntil(deadline);
    co_return true;
}

static std::string expectedEndpoint(const HTTP::Request& request)
{
    return HTTP::findHeader(request.headers, "Expect-Endpoint").value_or("");
}

static Fixture::Answer answerOk()
{
    return [](const HTTP::Request& request, HTTP::ResponseWriter& writer) { return send(writer, { 200, sealed(request), "ok" }); };
}

// The request is answered with the given status and headers, and its body is one event.
static Fixture::Answer answerWith(unsigned status, HTTP::Headers headers)
{
    return [status, headers](const HTTP::Request&, HTTP::ResponseWriter& writer) { return send(writer, { status, headers, "id: 1\ndata: a\n\n" }); };
}

// Sends requests that any endpoint may serve and checks that none reaches this one.
static void expectNoRequestAt(Fixture& fixture, const std::string& endpoint)
{
    fixture.answer = answerOk();
    fixture.arrivals.clear();
    for (int i = 0; i < 8; ++i)
        cr_assert_eq(fixture.call(fixture.makeRequest("/once/a"))->status, 200);
    for (const HTTP::Request& arrival : fixture.arrivals)
        cr_assert_neq(expectedEndpoint(arrival), endpoint);
}

// Guards against sending further requests to an endpoint that has said that it is leaving in an answer of any kind: one that is
// forwarded, a failure, a refusal, a stream, one without a seal, and one to another request.
Test(EndpointNotices, leavingEndpointGetsNoFurtherRequest)
{
    struct Case {
        const char* target;
        unsigned status;
        HTTP::Headers headers;
    };
    const HTTP::Header id { "Id", "r1" };
    const HTTP::Header seal { "Seal", "s" };
    const HTTP::Header leaving { "Leaving", "1" };
    for (const Case& testCase : { Case { "/once/a", 200, { id, seal, leaving } }, Case { "/once/a", 404, { id, seal, leaving } },
             Case { "/once/a", 500, { id, seal, leaving } }, Case { "/again/a", 500, { id, seal, leaving } },
             Case { "/once/a", 503, { id, { "Not-Run", "1" }, leaving } }, Case { "/stream/a", 200, { id, seal, leaving } },
             Case { "/once/a", 200, { id, leaving } }, Case { "/once/a", 200, { { "Id", "other" }, seal, leaving } } }) {
        Fixture fixture;
        // Only the first answer says so.
        fixture.answer = [&fixture, &testCase](const HTTP::Request& request, HTTP::ResponseWriter& writer) {
            return fixture.arrivals.size() == 1 ? answerWith(testCase.status, testCase.headers)(request, writer) : answerOk()(request, writer);
        };
        fixture.call(fixture.makeRequest(testCase.target, { { "Timeout", "300" } }));
        std::string endpoint = expectedEndpoint(fixture.arrivals.at(0));
        expectNoRequestAt(fixture, endpoint);
        // The store lists it as ready again.
        Relay::Endpoint listed = *fixture.directory.find(endpoint);
        listed.isLeaving = false;
        fixture.directory.put(listed);
        expectNoRequestAt(fixture, endpoint);
    }
}

// Guards against waiting, or against sending the request nevertheless, once the last endpoint is leaving. No tokens are held for such
// a request: they may have to be waited for.
Test(EndpointNotices, requestsAreRefusedAtOnceIfTheLastEndpointIsLeaving)
{
    Fixture fixture(1);
    fixture.answer = answerWith(200, { { "Id", "r1" }, { "Seal", "s" }, { "Leaving", "1" } });
    cr_assert_eq(fixture.call(fixture.makeRequest("/once/a"))->status, 200);
    fixture.store.setOutage(true);
    Core::SteadyClock::time_point startedAt = Core::SteadyClock::now();
    std::optional<HTTP::Response> response = fixture.call(fixture.makeRequest("/once/a", { { "Tokens", "20" } }));
    cr_assert_lt(Core::SteadyClock::now() - startedAt, std::chrono::milliseconds(200));
    cr_assert_eq(response->status, 503);
    cr_assert(response->body.find("no_endpoint") != std::string::npos, "%s", response->body.c_str());
    cr_assert_eq(HTTP::findHeader(response->headers, "Retry-After").value_or(""), "0.400");
    cr_assert_eq(fixture.arrivals.size(), 1);
}

// Guards against cutting a stream because its endpoint is leaving.
Test(EndpointNotices, streamInProgressContinuesAtALeavingEndpoint)
{
    Fixture fixture;
    fixture.answer = [](const HTTP::Request& request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        Core::Reason reason;
        HTTP::Headers headers = sealed(request);
        headers.push_back({ "Leaving", "1" });
        co_await writer.startStream(200, headers, reason);
        co_await writer.writeChunk("id: 1\ndata: a\n\n", reason);
        co_await Core::sleepUntil(Core::Deadline::after(std::chrono::milliseconds(50)));
        co_await writer.writeChunk("id: 2\ndata: b\n\n", reason);
        co_await writer.finishStream(reason);
    };
    cr_assert_eq(fixture.call(fixture.makeRequest("/stream/a"))->body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    cr_assert_eq(fixture.arrivals.size(), 1);
}

// Guards against ignoring what an endpoint says in its answer to a status request.
Test(EndpointNotices, answerToAStatusRequestMarksTheEndpoint)
{
    Fixture fixture;
    fixture.status = "1";
    fixture.statusHeaders = { { "Leaving", "1" } };
    fixture.answer = [&fixture](const HTTP::Request& request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        while (fixture.statusRequests == 0)
            co_await Core::sleepUntil(Core::Deadline::after(std::chrono::milliseconds(10)));
        co_await Core::sleepUntil(Core::Deadline::after(std::chrono::milliseconds(50)));
        co_await send(writer, { 200, sealed(request), "id: 1\ndata: a\n\n" });
    };
    cr_assert_eq(fixture.call(fixture.makeRequest("/stream/a"))->status, 200);
    cr_assert_eq(fixture.arrivals.size(), 1);
    expectNoRequestAt(fixture, expectedEndpoint(fixture.arrivals.at(0)));
}

// Runs until a request is about to be sent to an endpoint other than this one, and returns the endpoint's id.
static std::string runUntilConnecting(Fixture& fixture, const std::string& other)
{
    std::string chosen;
    TestSupport::runUntil(fixture.context, [&fixture, &chosen, &other] {
        for (const auto& [id, endpoint] : fixture.directory.endpoints())
            chosen = id != other && fixture.selector.inFlight(id) > 0 ? id : chosen;
        return !chosen.empty();
    });
    return chosen;
}

// Starts a call and runs until it is about to be sent to an endpoint, to which there is no connection yet.
static std::string startUntilConnecting(Fixture& fixture, HTTP::Client& caller, std::optional<std::optional<HTTP::Response>>& response)
{
    static Core::Reason ignored;
    TestSupport::startTask(fixture.context, caller.roundTrip(fixture.address, fixture.makeRequest("/once/a"), Core::Deadline::after(callTimeout), ignored), response);
    return runUntilConnecting(fixture, "");
}

// Guards against sending a request that was being connected when the endpoint said that it is leaving: it goes to another endpoint.
Test(EndpointNotices, requestIsNotSentIfTheEndpointLeavesWhileItIsConnected)
{
    Fixture fixture;
    fixture.answer = answerOk();
    HTTP::Client caller(fixture.context.get_executor());
    std::optional<std::optional<HTTP::Response>> response;
    std::string chosen = startUntilConnecting(fixture, caller, response);
    fixture.directory.markLeaving(*fixture.directory.find(chosen), Core::SteadyClock::now());
    TestSupport::runUntil(fixture.context, [&response] { return response.has_value(); });
    cr_assert_eq((*response)->status, 200);
    cr_assert_eq(fixture.arrivals.size(), 1);
    cr_assert_neq(expectedEndpoint(fixture.arrivals.at(0)), chosen);
    cr_assert_eq(fixture.selector.inFlight(chosen), 0);
}

// Guards against charging the retry budget for a request that was not sent: with a budget of 3 retries, the second of these
// requests was refused.
Test(EndpointNotices, requestThatIsNotSentIsNoRetry)
{
    static constexpr int rounds = 3;
    Fixture fixture(rounds * 3);
    for (int round = 0; round < rounds; ++round) {
        std::string refusing;
        fixture.arrivals.clear();
        fixture.answer = [&fixture, &refusing](const HTTP::Request& request, HTTP::ResponseWriter& writer) {
            if (fixture.arrivals.size() > 1)
                return answerOk()(request, writer);
            refusing = expectedEndpoint(request);
            return answerWith(503, { { "Id", "r1" }, { "Not-Run", "1" }, { "Leaving", "1" } })(request, writer);
        };
        HTTP::Client caller(fixture.context.get_executor());
        std::optional<std::optional<HTTP::Response>> response;
        startUntilConnecting(fixture, caller, response);
        TestSupport::runUntil(fixture.context, [&refusing] { return !refusing.empty(); });
        std::string withheld = runUntilConnecting(fixture, refusing);
        fixture.directory.markLeaving(*fixture.directory.find(withheld), Core::SteadyClock::now());
        TestSupport::runUntil(fixture.context, [&response] { return response.has_value(); });
        cr_assert_eq((*response)->status, 200, "round %d: %s", round, (*response)->body.c_str());
        cr_assert_eq(fixture.arrivals.size(), 2);
        // The endpoints of the next round have no connections yet.
        fixture.directory.markLeaving(*fixture.directory.find(expectedEndpoint(fixture.arrivals.at(1))), Core::SteadyClock::now());
    }
}

// Guards against sending requests to an endpoint that has asked for a pause, in a refusal, a failure of its own or an answer to another
// request, and against avoiding it for longer.
Test(EndpointNotices, pausedEndpointGetsNoRequestUntilThePauseEnds)
{
    static constexpr std::chrono::milliseconds pause(600);
    // Longer than an endpoint is avoided after a refusal without a pause.
    static constexpr std::chrono::milliseconds overloadBackoff(200);
    const HTTP::Header id { "Id", "r1" };
    const HTTP::Header pauseHeader { "Pause-Ms", std::to_string(pause.count()) };
    for (const HTTP::Headers& headers : { HTTP::Headers { id, { "Not-Run", "1" }, pauseHeader }, HTTP::Headers { id, { "Seal", "s" }, pauseHeader },
             HTTP::Headers { { "Id", "other" }, { "Not-Run", "1" }, pauseHeader } }) {
        Fixture fixture;
        fixture.answer = [&fixture, &headers](const HTTP::Request& request, HTTP::ResponseWriter& writer) {
            return fixture.arrivals.size() == 1 ? answerWith(503, headers)(request, writer) : answerOk()(request, writer);
        };
        Core::SteadyClock::time_point startedAt = Core::SteadyClock::now();
        fixture.call(fixture.makeRequest("/once/a", { { "Timeout", "100" } }));
        std::string endpoint = expectedEndpoint(fixture.arrivals.at(0));
        // The other one is loaded, so that the first would be preferred.
        for (int i = 0; i < 5; ++i)
            fixture.selector.recordStart(endpoint == "e0" ? "e1" : "e0", Core::SteadyClock::now());
        Core::Deadline backoffEnd(startedAt + overloadBackoff);
        TestSupport::runTask(fixture.context, waitUntil(backoffEnd));
        expectNoRequestAt(fixture, endpoint);
        Core::Deadline end = Core::Deadline::after(std::chrono::seconds(2));
        do {
            cr_assert_not(end.hasPassed());
            fixture.arrivals.clear();
            fixture.call(fixture.makeRequest("/once/a"));
        } while (expectedEndpoint(fixture.arrivals.at(0)) != endpoint);
        cr_assert_geq(Core::SteadyClock::now(), startedAt + pause);
    }
}

// Guards against holding requests that no endpoint takes for now, and against inviting their callers back too late or too early.
Test(EndpointNotices, requestsAreRefusedUntilTheShortestPauseEnds)
{
    Fixture fixture;
    fixture.answer = [&fixture](const HTTP::Request& request, HTTP::ResponseWriter& writer) {
        return answerWith(503, { { "Id", "r1" }, { "Not-Run", "1" }, { "Pause-Ms", fixture.arrivals.size() == 1 ? "9000" : "2500" } })(request, writer);
    };
    auto retryAfter = [](const HTTP::Response& response) { return std::stod(HTTP::findHeader(response.headers, "Retry-After").value_or("0")); };
    std::optional<HTTP::Response> response = fixture.call(fixture.makeRequest("/once/a"));
    cr_assert_eq(response->status, 503);
    cr_assert(retryAfter(*response) > 2 && retryAfter(*response) <= 2.5, "%f", retryAfter(*response));
    cr_assert_eq(fixture.arrivals.size(), 2);
    fixture.store.setOutage(true);
    Core::SteadyClock::time_point startedAt = Core::SteadyClock::now();
    response = fixture.call(fixture.makeRequest("/once/a", { { "Tokens", "20" } }));
    cr_assert_lt(Core::SteadyClock::now() - startedAt, std::chrono::milliseconds(200));
    cr_assert_eq(response->status, 503);
    cr_assert(response->body.find("\"ran\":\"not_run\"") != std::string::npos, "%s", response->body.c_str());
    cr_assert(retryAfter(*response) > 2 && retryAfter(*response) <= 2.5, "%f", retryAfter(*response));
    cr_assert_eq(fixture.arrivals.size(), 2);
}

// Guards against sending a request that was being connected when the pause began, and against counting that as the endpoint's failure:
// with the failure, the other endpoint was always preferred.
Test(EndpointNotices, requestIsNotSentIfAPauseBeginsWhileItIsConnected)
{
    Fixture fixture;
    fixture.answer = answerOk();
    HTTP::Client caller(fixture.context.get_executor());
    std::optional<std::optional<HTTP::Response>> response;
    std::string chosen = startUntilConnecting(fixture, caller, response);
    Core::SteadyClock::time_point now = Core::SteadyClock::now();
    Core::SteadyClock::time_point until = now + std::chrono::seconds(5);
    fixture.selector.recordPause(*fixture.directory.find(chosen), until, now);
    TestSupport::runUntil(fixture.context, [&response] { return response.has_value(); });
    cr_assert_eq((*response)->status, 200);
    cr_assert_eq(fixture.arrivals.size(), 1);
    cr_assert_neq(expectedEndpoint(fixture.arrivals.at(0)), chosen);
    cr_assert_eq(fixture.selector.inFlight(chosen), 0);
    bool isChosenAgain = false;
    for (int i = 0; i < 100; ++i)
        isChosenAgain = isChosenAgain || fixture.selector.choose({ "service", false, 0, {} }, until)->id == chosen;
    cr_assert(isChosenAgain);
}

// Answers with one event after several silence limits.
static Core::Task<void> answerLate(const HTTP::Request& request, HTTP::ResponseWriter& writer)
{
    co_await Core::sleepUntil(Core::Deadline::after(std::chrono::milliseconds(600)));
    co_await send(writer, { 200, sealed(request), "id: 1\ndata: a\n\n" });
}

// Guards against status requests at an endpoint that pauses.
Test(EndpointNotices, pausedEndpointGetsNoStatusRequest)
{
    Fixture fixture;
    fixture.answer = [&fixture](const HTTP::Request& request, HTTP::ResponseWriter& writer) {
        Core::SteadyClock::time_point now = Core::SteadyClock::now();
        fixture.selector.recordPause(*fixture.directory.find(expectedEndpoint(request)), now + std::chrono::seconds(5), now);
        return answerLate(request, writer);
    };
    cr_assert_eq(fixture.call(fixture.makeRequest("/stream/a"))->status, 200);
    cr_assert_eq(fixture.arrivals.size(), 1);
    cr_assert_eq(fixture.statusRequests, 0);
}

// Guards against taking a refused status request for evidence that the engine has lost the stream, and against repeating it.
Test(EndpointNotices, refusedStatusRequestIsNoEvidence)
{
    Fixture fixture;
    fixture.status = "0";
    fixture.statusCode = 503;
    fixture.statusHeaders = { { "Pause-Ms", "5000" } };
    fixture.answer = answerLate;
    cr_assert_eq(fixture.call(fixture.makeRequest("/stream/a"))->status, 200);
    cr_assert_eq(fixture.arrivals.size(), 1);
    cr_assert_eq(fixture.statusRequests, 1);
    expectNoRequestAt(fixture, expectedEndpoint(fixture.arrivals.at(0)));
}
