#include "RelayFixture.h"

#include <algorithm>
#include <array>
#include <set>

using namespace RelayTest;

namespace {

// Engines that end when they begin to answer a prompt whose body is "deadly".
struct CrashFixture : Fixture {
    std::set<size_t> crashed;

    explicit CrashFixture(size_t engineCount)
        : Fixture(engineCount)
    {
        answer = [this](const HTTP::Request& request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
            Core::Reason ignored;
            if (request.body == "deadly") {
                crash(request);
                co_return;
            }
            co_await writer.startStream(200, sealed(request), ignored);
            co_await writer.writeChunk("id: 1\ndata: a\n\n", ignored);
            co_await writer.finishStream(ignored);
        };
    }

    // Ends the engine that received the request: its connections break and its address refuses new ones.
    void crash(const HTTP::Request& request)
    {
        size_t index = std::stoul(HTTP::findHeader(request.headers, "Expect-Endpoint").value().substr(1));
        crashed.insert(index);
        endpoints.at(index)->closeAll();
    }

    std::optional<HTTP::Response> ask(const std::string& target, const std::string& parts, const std::string& body)
    {
        HTTP::Request request = makeRequest(target, { { "Parts", parts } });
        request.body = body;
        return call(std::move(request));
    }

    size_t deadlyArrivals() const
    {
        return static_cast<size_t>(std::count_if(arrivals.begin(), arrivals.end(), [](const HTTP::Request& request) { return request.body == "deadly"; }));
    }
};

}

// Guards against a prompt part that crashes each engine taking down all engines, one request after the other, and against
// refusing sound requests that share the caller and other parts with it (BUDGET and LOST of issue 21).
Test(CrashingPrompts, partThatCrashesThreeEnginesIsRefused)
{
    for (const char* target : { "/stream/a", "/single/a", "/again/a", "/once/a" }) {
        CrashFixture fixture(8);
        for (int i = 0; i < 10; ++i) {
            std::string last = std::to_string(i);
            cr_assert_eq(fixture.ask(target, "common,sound," + last, "sound")->status, 200, "sound request before %d at %s", i, target);
            std::optional<HTTP::Response> response = fixture.ask(target, "common,deadly," + last, "deadly");
            bool isRefused = response && response->status == 503;
            if (fixture.crashed.size() < 3)
                continue;
            cr_assert(isRefused || fixture.deadlyArrivals() == 3, "request %d at %s", i, target);
            if (isRefused) {
                cr_assert(response->body.find("prompt_quarantined") != std::string::npos);
                cr_assert(response->body.find("\"ran\":\"not_run\"") != std::string::npos);
                cr_assert(HTTP::findHeader(response->headers, "Retry-After").has_value());
            }
        }
        cr_assert_eq(fixture.crashed.size(), 3, "%zu engines crashed at %s", fixture.crashed.size(), target);
        cr_assert_eq(fixture.deadlyArrivals(), 3);
    }
}

// Guards against refusing sound requests that share a part with all deadly ones so far, where no answer has proven it.
Test(CrashingPrompts, soundRequestsWithAnUnprovenPartAreServed)
{
    CrashFixture fixture(8);
    for (int i = 0; i < 6; ++i)
        fixture.ask("/once/a", "first,rare,deadly," + std::to_string(i), "deadly");
    cr_assert_eq(fixture.crashed.size(), 3);
    cr_assert_eq(fixture.ask("/once/a", "first,rare,x", "sound")->status, 200);
    cr_assert_eq(fixture.ask("/once/a", "first,other,deadly,y", "deadly")->status, 503);
    cr_assert_eq(fixture.crashed.size(), 3);
}

// Guards against blaming a part for servers that lose answers or reset requests while they go on running.
Test(CrashingPrompts, brokenConnectionsOfRunningEnginesAreNoEvidence)
{
    CrashFixture fixture(4);
    fixture.answer = [](const HTTP::Request&, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        writer.abort();
        co_return;
    };
    for (int i = 0; i < 6; ++i)
        cr_assert_eq(fixture.ask("/once/a", "first,second," + std::to_string(i), "x")->status, 502);
    cr_assert_eq(fixture.quarantine.suspects(), 0);
    cr_assert_gt(fixture.statusRequests, 0);
}

// Guards against blaming a part for engines that are silent, for instance since they are cut off.
Test(CrashingPrompts, silentEnginesAreNoEvidence)
{
    CrashFixture fixture(2);
    fixture.status = std::nullopt;
    fixture.answer = [](const HTTP::Request& request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        if (request.body == "reset")
            writer.abort();
        else
            co_await Core::sleepUntil(Core::Deadline::after(std::chrono::milliseconds(400)));
    };
    cr_assert_eq(fixture.ask("/once/a", "first,second,x", "reset")->status, 502);
    HTTP::Request request = fixture.makeRequest("/once/a", { { "Parts", "first,second,y" }, { "Timeout", "200" } });
    cr_assert_eq(fixture.call(std::move(request))->status, 504);
    cr_assert_eq(fixture.quarantine.suspects(), 0);
}

// Guards against blaming the parts of a request whose answer had begun.
Test(CrashingPrompts, crashAfterTheFirstEventIsNoEvidence)
{
    CrashFixture fixture(4);
    fixture.answer = [&fixture](const HTTP::Request& request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        Core::Reason ignored;
        co_await writer.startStream(200, sealed(request), ignored);
        co_await writer.writeChunk("id: 1\ndata: a\n\n", ignored);
        co_await Core::sleepUntil(Core::Deadline::after(std::chrono::milliseconds(50)));
        fixture.crash(request);
    };
    for (int i = 0; i < 4; ++i)
        fixture.ask("/single/a", "first,second," + std::to_string(i), "x");
    cr_assert_eq(fixture.crashed.size(), 4);
    cr_assert_eq(fixture.quarantine.suspects(), 0);
}

// Guards against status requests for prompts without an unproven part, as each is priced.
Test(CrashingPrompts, provenPartsAreNotChecked)
{
    CrashFixture fixture(2);
    cr_assert_eq(fixture.ask("/stream/a", "first,second,x", "sound")->status, 200);
    fixture.answer = [](const HTTP::Request&, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        writer.abort();
        co_return;
    };
    fixture.ask("/once/a", "first,second,y", "x");
    fixture.ask("/once/a", "last", "x");
    fixture.ask("/once/a", "", "x");
    cr_assert_eq(fixture.statusRequests, 0);
}

// Guards against sending a request that has crashed an engine to another one although its part has crashed two, as known from
// this or other daemons.
Test(CrashingPrompts, requestThatHasCrashedAnEngineIsNotRepeatedAfterTwoCrashes)
{
    CrashFixture fixture(6);
    fixture.quarantine.adopt({ { "deadly", { { "elsewhere", 1 } } }, 5 }, Core::SteadyClock::now());
    cr_assert_eq(fixture.ask("/stream/a", "common,deadly,x", "deadly")->status, 502);
    cr_assert_eq(fixture.crashed.size(), 1);
}

// Guards against holding tokens for a request that is refused.
Test(CrashingPrompts, refusedRequestHoldsNoTokens)
{
    CrashFixture fixture(2);
    fixture.quarantine.adopt({ { "deadly", { { "a", 1 }, { "b", 1 }, { "c", 1 } } }, 5 }, Core::SteadyClock::now());
    HTTP::Request request = fixture.makeRequest("/once/a", { { "Parts", "common,deadly,x" }, { "Tokens", "50" } });
    std::optional<HTTP::Response> response = fixture.call(std::move(request));
    cr_assert_eq(response->status, 503);
    cr_assert_eq(fixture.store.writes(), 0);
    cr_assert(fixture.arrivals.empty());
}

// Guards against one status request for each of the many requests that break when an engine drops its connections.
Test(CrashingPrompts, requestsThatBreakTogetherShareACheck)
{
    CrashFixture fixture(1);
    fixture.answer = [](const HTTP::Request&, HTTP::ResponseWriter& writer) -> Core::Task<void> {
        co_await Core::sleepUntil(Core::Deadline::after(std::chrono::milliseconds(50)));
        writer.abort();
    };
    HTTP::Client caller(fixture.context.get_executor());
    std::array<std::optional<std::optional<HTTP::Response>>, 5> responses;
    std::array<Core::Reason, 5> reasons;
    for (size_t i = 0; i < responses.size(); ++i) {
        HTTP::Request request = fixture.makeRequest("/once/a", { { "Parts", "first,second," + std::to_string(i) } });
        TestSupport::startTask(fixture.context, caller.roundTrip(fixture.address, std::move(request), Core::Deadline::after(std::chrono::seconds(20)), reasons.at(i)), responses.at(i));
    }
    TestSupport::runUntil(fixture.context, [&responses] { return std::all_of(responses.begin(), responses.end(), [](const auto& response) { return response.has_value(); }); });
    cr_assert_eq(fixture.arrivals.size(), 5);
    cr_assert_eq(fixture.statusRequests, 1);
}
