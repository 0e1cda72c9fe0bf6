#include "EngineFixture.h"
#include "LoadHistory.h"
#include "PrefixCache.h"

using Emulator::EngineLoad;
using Emulator::LoadHistory;
using Emulator::PrefixCache;
using Milliseconds = std::chrono::milliseconds;

static HTTP::Request order(const std::string& body)
{
    return { "POST", "/v1/orders", {}, body };
}

// Guards against an engine that applies a late order although its record says that it checks the number.
Test(EngineOrders, olderFencingNumberIsRefusedWhenChecked)
{
    EngineFixture fixture;
    fixture.callJson(order(R"({"order": "set_role", "role": "decode", "fencing": 7})"));
    fixture.callJson(order(R"({"order": "set_role", "role": "prefill", "fencing": 6})"), 409);
    nlohmann::json state = fixture.callJson(order(R"({"order": "load_model", "model": "m", "fencing": 7})"));
    cr_assert_eq(state["role"].get<std::string>(), "decode");
    cr_assert_eq(state["late"].get<int64_t>(), 1);
}

// Guards against an emulator that is safer than the engines that ignore the number.
Test(EngineOrders, olderFencingNumberIsAppliedWhenIgnored)
{
    Emulator::EngineSettings settings = EngineFixture::fastSettings();
    settings.checksFencing = false;
    EngineFixture fixture(settings);
    fixture.callJson(order(R"({"order": "set_role", "role": "decode", "fencing": 7})"));
    fixture.callJson(order(R"({"order": "set_role", "role": "prefill", "fencing": 6})"));
    nlohmann::json state = fixture.counters()["orders"];
    cr_assert_eq(state["role"].get<std::string>(), "prefill");
    cr_assert_eq(state["late"].get<int64_t>(), 1);
}

// Guards against requests for a model that is not loaded, and orders without a subject.
Test(EngineOrders, modelIsServedOnceLoaded)
{
    Emulator::EngineSettings settings = EngineFixture::fastSettings();
    settings.models = { "other" };
    EngineFixture fixture(settings);
    fixture.callJson(EngineFixture::post("s", "p", 5), 404);
    fixture.callJson(order(R"({"order": "load_model", "fencing": 1})"), 400);
    fixture.callJson(order(R"({"order": "load_model", "model": "m"})"), 400);
    fixture.callJson(order(R"({"order": "load_model", "model": "m", "fencing": 1})"));
    cr_assert_eq(fixture.call(EngineFixture::post("s", "p", 5))->status, 200u);
}

// Guards against load reports that are fresher than an engine's.
Test(LoadHistory, reportsTheLoadOfOneLagAgo)
{
    LoadHistory history(100);
    Core::SteadyClock::time_point start {};
    history.record({ 1, 0 }, start);
    history.record({ 2, 5 }, start + Milliseconds(50));
    history.record({ 3, 0 }, start + Milliseconds(200));
    cr_assert((history.report(start + Milliseconds(99)) == EngineLoad {}));
    cr_assert((history.report(start + Milliseconds(249)) == EngineLoad { 2, 5 }));
    cr_assert((history.report(start + Milliseconds(300)) == EngineLoad { 3, 0 }));
}

static std::string prefixOf(char letter, size_t blocks)
{
    return std::string(blocks * 256, letter);
}

// Guards against prefixes that are found although a block before them differs or was removed.
Test(PrefixCache, matchesWholeBlocksFromTheStartWithinItsMemory)
{
    PrefixCache cache({ 4 * 64, 0, 0, 1 });
    cache.insert(prefixOf('a', 2) + "rest");
    cr_assert_eq(cache.match(prefixOf('a', 2) + prefixOf('b', 1)), 128);
    cr_assert_eq(cache.match(prefixOf('b', 1) + prefixOf('a', 2)), 0);
    cache.insert(prefixOf('c', 3));
    // The block that was used last stays.
    cr_assert_eq(cache.match(prefixOf('c', 3)), 192);
    cr_assert_lt(cache.match(prefixOf('a', 2)), 128);
}

// Guards against cache events that arrive at once and without gaps, unlike those of engines.
Test(PrefixCache, eventsComeLateAndWithGaps)
{
    PrefixCache late({ 1000 * 64, 0, 1000, 1 });
    late.insert(prefixOf('a', 3));
    Core::SteadyClock::time_point now = Core::SteadyClock::now();
    cr_assert_eq(late.eventsAfter(0, now)["events"].size(), 0u);
    nlohmann::json events = late.eventsAfter(1, now + Milliseconds(1000));
    cr_assert_eq(events["events"].size(), 2u);
    cr_assert_eq(events["next"].get<uint64_t>(), 3u);

    PrefixCache withGaps({ 1000 * 64, 50, 0, 1 });
    withGaps.insert(prefixOf('a', 200));
    size_t reported = withGaps.eventsAfter(0, now + Milliseconds(1000))["events"].size();
    cr_assert_gt(reported, 0u);
    cr_assert_lt(reported, 200u);
}

// Guards against an engine whose cache events never show what it stores.
Test(EngineControl, cacheEventsAreServed)
{
    Emulator::EngineSettings settings = EngineFixture::fastSettings();
    settings.cacheEventGapPercent = 0;
    EngineFixture fixture(settings);
    cr_assert(fixture.call(EngineFixture::post("s", prefixOf('a', 2), 2)));
    nlohmann::json events = fixture.callJson({ "GET", "/v1/cache-events?since=0", {}, "" });
    cr_assert_eq(events["events"].size(), 2u);
    cr_assert_eq(events["events"][0]["kind"].get<std::string>(), "stored");
    fixture.callJson({ "GET", "/v1/cache-events?since=x", {}, "" }, 400);
}

// Guards against malformed requests that end the connection or run.
Test(EngineControl, malformedRequestsAreNamed)
{
    EngineFixture fixture;
    HTTP::Request request = EngineFixture::post("s", "p", 5);
    request.body = R"({"model": "m", "messages": [{"role": "user"}]})";
    nlohmann::json error = fixture.callJson(request, 400);
    cr_assert_neq(error["error"]["message"].get<std::string>().find("messages"), std::string::npos);
    fixture.callJson(EngineFixture::post("a\"b", "p", 5), 400);
    fixture.callJson(EngineFixture::post("s", "p", 0), 400);
    cr_assert_eq(fixture.engine.runsOf("s"), 0);
}
