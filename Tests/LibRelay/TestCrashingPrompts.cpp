#include "RelayFixture.h"

#include <algorithm>
#include <array>
#include <set>

using namespace RelayTest;
using std::chrono::milliseconds;

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

    void wait(milliseconds time)
    {
        TestSupport::runTask(context, sleep(time));
    }

    static Core::Task<bool> sleep(milliseconds time)
    {
        co_await Core::sleepUntil(Core::Deadline::after(time));
        co_return true;
    }

    // Sends sound and deadly requests in turn. Three engines may crash, and all sound requests must be served.
    void expectDeadlyPartRefused(const char* target, int crashPoint)
    {
        for (int i = 0; i < 6; ++i) {
            std::string last = std::to_string(i);
            std::optional<HTTP::Response> sound = ask(target, "common,sound," + last, "sound");
            cr_assert(sound && sound->status == 200, "sound request before %d at %s, crash point %d", i, target, crashPoint);
            ask(target, "common,deadly," + last, "deadly");
            wait(milliseconds(120));
        }
        cr_assert_eq(deadlyArrivals(), 3, "%zu deadly requests reached engines at %s, crash point %d", deadlyArrivals(), target, crashPoint);
        cr_assert_eq(crashed.size(), 3);
        cr_assert_eq(ask(target, "common,deadly,x", "deadly")->status, 503);
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
    // The answer proves the part once its engine has survived it.
    fixture.wait(milliseconds(120));
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

// Guards against a prompt part that is never held to have crashed engines because its answers begin, or are even complete, before the
// engine ends: the answers counted as proof that the part is sound (review/1).
Test(CrashingPrompts, partIsRefusedWhereverInTheAnswerItCrashesEngines)
{
    static constexpr int events = 4;
    static constexpr int afterTheAnswer = events + 1;
    for (const char* target : { "/stream/a", "/single/a" }) {
        for (int crashAfter = 0; crashAfter <= afterTheAnswer; ++crashAfter) {
            CrashFixture fixture(8);
            fixture.answer = [&fixture, crashAfter](const HTTP::Request& request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
                Core::Reason ignored;
                bool isDeadly = request.body == "deadly";
                int first = std::stoi(HTTP::findHeader(request.headers, "Last-Event").value_or("0")) + 1;
                co_await writer.startStream(200, sealed(request), ignored);
                for (int event = first; event <= events; ++event) {
                    if (isDeadly && event > crashAfter)
                        break;
                    co_await writer.writeChunk("id: " + std::to_string(event) + "\ndata: a\n\n", ignored);
                    co_await Core::sleepUntil(Core::Deadline::after(milliseconds(2)));
                }
                if (!isDeadly || crashAfter == afterTheAnswer)
                    co_await writer.finishStream(ignored);
                if (isDeadly)
                    fixture.crash(request);
            };
            fixture.expectDeadlyPartRefused(target, crashAfter);
        }
    }
}

// The same for answers of a known length.
Test(CrashingPrompts, partIsRefusedWhereverInAWholeAnswerItCrashesEngines)
{
    for (const char* target : { "/again/a", "/once/a" }) {
        for (bool isAfterTheAnswer : { false, true }) {
            CrashFixture fixture(8);
            fixture.answer = [&fixture, isAfterTheAnswer](const HTTP::Request& request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
                Core::Reason ignored;
                bool isDeadly = request.body == "deadly";
                if (!isDeadly || isAfterTheAnswer) {
                    co_await writer.send({ 200, sealed(request), "body" }, ignored);
                } else {
                    co_await writer.startStream(200, sealed(request), ignored);
                    co_await writer.writeChunk("bo", ignored);
                    co_await Core::sleepUntil(Core::Deadline::after(milliseconds(5)));
                }
                if (isDeadly)
                    fixture.crash(request);
            };
            fixture.expectDeadlyPartRefused(target, isAfterTheAnswer);
        }
    }
}

// Guards against blaming the parts of answers that a leaving process had just completed, or cut off, at its planned end.
Test(CrashingPrompts, plannedEndsAreNoEvidence)
{
    for (bool isComplete : { false, true }) {
        CrashFixture fixture(4);
        fixture.answer = [&fixture, isComplete](const HTTP::Request& request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
            Core::Reason ignored;
            co_await writer.startStream(200, sealed(request), ignored);
            co_await writer.writeChunk("id: 1\ndata: a\n\n", ignored);
            if (isComplete)
                co_await writer.finishStream(ignored);
            std::string id = HTTP::findHeader(request.headers, "Expect-Endpoint").value();
            fixture.directory.markLeaving(*fixture.directory.find(id), Core::SteadyClock::now());
            fixture.crash(request);
        };
        for (int i = 0; i < 4; ++i)
            fixture.ask("/single/a", "first,second," + std::to_string(i), "x");
        fixture.wait(milliseconds(200));
        cr_assert_eq(fixture.crashed.size(), 4);
        cr_assert_eq(fixture.quarantine.suspects(), 0);
    }
}

// Guards against a status request after each answer: an open connection shows that the engine runs. Where the engine closes it with the
// answer, one status request proves the parts.
Test(CrashingPrompts, answersAreConfirmedWithoutStatusRequestsOverOpenConnections)
{
    for (bool isConnectionClosed : { false, true }) {
        CrashFixture fixture(1);
        if (isConnectionClosed)
            fixture.endpoints.front()->closeAfterResponses();
        fixture.answer = [](const HTTP::Request& request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
            Core::Reason ignored;
            co_await writer.send({ 200, sealed(request), "body" }, ignored);
        };
        std::vector<Relay::PromptPart> parts { { "first", 1 }, { "second", 1 }, { "x", 1 } };
        cr_assert_eq(fixture.ask("/once/a", "first,second,x", "x")->status, 200);
        cr_assert(fixture.quarantine.hasUnprovenParts(parts, Core::SteadyClock::now()));
        fixture.wait(milliseconds(200));
        cr_assert_not(fixture.quarantine.hasUnprovenParts(parts, Core::SteadyClock::now()));
        cr_assert_eq(fixture.statusRequests, isConnectionClosed ? 1 : 0);
    }
}

// Guards against status requests for prompts without an unproven part, as each is priced.
Test(CrashingPrompts, provenPartsAreNotChecked)
{
    CrashFixture fixture(2);
    cr_assert_eq(fixture.ask("/stream/a", "first,second,x", "sound")->status, 200);
    fixture.wait(milliseconds(200));
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
