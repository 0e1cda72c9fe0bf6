#include "RelayFixture.h"

// Requests to engines, with the options that a deployment switches on.
using namespace RelayTest;

// A configuration whose service is an engine, and whose streams have this priority.
static std::shared_ptr<const Relay::Configuration> makeEngineConfiguration(int priority, std::optional<int> workspacePriority)
{
    Relay::Service service;
    service.name = "service";
    service.engine = Relay::EngineTraits { 12, 100'000, 1 };
    Relay::Workspace workspace;
    workspace.name = "w";
    workspace.priority = workspacePriority;
    workspace.keys = { "key" };
    Relay::Route route = makeRoute("/stream/", true, false, true, 2);
    route.priority = priority;
    return std::make_shared<const Relay::Configuration>(2, std::vector { route }, std::vector { service }, std::vector { workspace }, true, Relay::CallerLimits {});
}

static Fixture::Answer answerWithOneEvent()
{
    return [](const HTTP::Request& request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        Core::Reason ignored;
        co_await writer.send({ 200, sealed(request), "id: 1\ndata: a\n\n" }, ignored);
    };
}

// A fixture whose callers reach a handler with these settings.
struct EngineFixture : Fixture {
    Relay::RequestHandler engineHandler;
    HTTP::Server engineRelay { context.get_executor(), [this](HTTP::Request request, HTTP::ResponseWriter& response) { return engineHandler.handle(std::move(request), response); } };

    explicit EngineFixture(Relay::HandlerSettings settings)
        : engineHandler(context.get_executor(), makeCodec(), makeHooks(), settings, client, selector, budgets, quarantine, metrics)
    {
        Core::Reason reason;
        address = engineRelay.listen({ "127.0.0.1", 0 }, reason).value();
        answer = answerWithOneEvent();
    }
};

static std::optional<std::string> urgencyOfARequest(bool sendsUrgency, int priority, std::optional<int> workspacePriority)
{
    Relay::HandlerSettings settings = Fixture::makeHandlerSettings();
    settings.sendsUrgency = sendsUrgency;
    EngineFixture fixture(settings);
    fixture.configuration = makeEngineConfiguration(priority, workspacePriority);
    std::optional<HTTP::Response> response = fixture.call(fixture.makeRequest("/stream/a"));
    cr_assert(response && response->status == 200);
    cr_assert_eq(fixture.arrivals.size(), 1);
    return HTTP::findHeader(fixture.arrivals.front().headers, "Urgency");
}

// Guards against requests to engines without the urgency of their route or, if it has one, their workspace.
Test(EngineRequests, carryTheUrgencyOfTheirPriority)
{
    cr_assert_eq(urgencyOfARequest(true, 0, std::nullopt), "1");
    cr_assert_eq(urgencyOfARequest(true, 2, std::nullopt), "5");
    cr_assert_eq(urgencyOfARequest(true, 2, 0), "1");
    cr_assert_eq(urgencyOfARequest(true, 0, 1), "3");
}

// Guards against a change of what engines see in deployments that have not asked for it.
Test(EngineRequests, carryNoUrgencyUnlessSwitchedOn)
{
    cr_assert_eq(urgencyOfARequest(false, 0, std::nullopt), std::nullopt);
}

// Guards against observations of engines that do not reach the prediction, against requests that remain counted after their end, and
// against first-event times that operators don't see by priority.
Test(EngineRequests, firstEventsAndEndsAreObserved)
{
    Relay::HandlerSettings settings = Fixture::makeHandlerSettings();
    // The slow stream is not moved to the other engine.
    settings.firstEventTimeoutMs = 5'000;
    EngineFixture fixture(settings);
    fixture.configuration = makeEngineConfiguration(2, std::nullopt);
    fixture.selector.predictEngineLoad();
    bool isSlow = true;
    size_t runsDuringTheAnswer = 0;
    fixture.answer = [&](const HTTP::Request& request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        runsDuringTheAnswer = fixture.selector.engineLoad()->runs("service");
        if (isSlow)
            co_await Core::sleepUntil(Core::Deadline::after(std::chrono::milliseconds(400)));
        Core::Reason ignored;
        co_await writer.send({ 200, sealed(request), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" }, ignored);
    };
    std::optional<HTTP::Response> response = fixture.call(fixture.makeRequest("/stream/a"));
    cr_assert(response && response->status == 200);
    cr_assert_eq(runsDuringTheAnswer, 1);
    cr_assert_eq(fixture.selector.engineLoad()->runs("service"), 0);
    std::string slow = HTTP::findHeader(fixture.arrivals.front().headers, "Expect-Endpoint").value_or("");
    isSlow = false;
    for (int i = 0; i < 4; ++i) {
        cr_assert(fixture.call(fixture.makeRequest("/stream/a")));
        cr_assert_neq(HTTP::findHeader(fixture.arrivals.back().headers, "Expect-Endpoint"), slow);
    }
    cr_assert(fixture.metrics.text().find("jujuberelay_relay_first_event_seconds_count{priority=\"2\"} 5") != std::string::npos, "%s", fixture.metrics.text().c_str());
    cr_assert_eq(fixture.selector.engineLoad()->runs("service"), 0);
}

// Guards against requests that remain counted when their engine refuses them or breaks off.
Test(EngineRequests, failedRequestsAreNoLongerCounted)
{
    EngineFixture fixture(Fixture::makeHandlerSettings());
    fixture.configuration = makeEngineConfiguration(0, std::nullopt);
    fixture.selector.predictEngineLoad();
    fixture.answer = [](const HTTP::Request& request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        HTTP::Headers headers = sealed(request);
        headers.push_back({ "Not-Run", "1" });
        Core::Reason ignored;
        co_await writer.send({ 429, headers, "" }, ignored);
    };
    cr_assert(fixture.call(fixture.makeRequest("/stream/a")));
    cr_assert_eq(fixture.arrivals.size(), 2);
    cr_assert_eq(fixture.selector.engineLoad()->runs("service"), 0);
    fixture.answer = [](const HTTP::Request&, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        writer.abort();
        co_return;
    };
    cr_assert(fixture.call(fixture.makeRequest("/stream/a")));
    cr_assert_eq(fixture.selector.engineLoad()->runs("service"), 0);
}
