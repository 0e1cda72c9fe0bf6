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

// An engine that checks fencing numbers must reject an order with a lower number than the highest one seen.
Test(EngineOrders, olderFencingNumberIsRefusedWhenChecked)
{
    EngineFixture fixture;
    fixture.callJson(order(R"({"order": "set_role", "role": "decode", "fencing": 7})"));
    fixture.callJson(order(R"({"order": "set_role", "role": "prefill", "fencing": 6})"), 409);
    nlohmann::json state = fixture.callJson(order(R"({"order": "load_model", "model": "m", "fencing": 7})"));
    cr_assert_eq(state["role"].get<std::string>(), "decode");
    cr_assert_eq(state["late"].get<int64_t>(), 1);
}

// With checksFencing off, the emulator must apply outdated orders, as engines without fencing do.
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

// Guards against serving a model that is not loaded, and against accepting orders without a name or fencing number.
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

// Guards against load reports that ignore the configured lag.
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

// Guards against matching a block although a preceding block differs or was evicted.
Test(PrefixCache, matchesCachedBlocksFromTheStartWithinCapacity)
{
    PrefixCache cache({ 4 * 64, 0, 0, 1 });
    cache.insert(prefixOf('a', 2) + "rest");
    cr_assert_eq(cache.match(prefixOf('a', 2) + prefixOf('b', 1)), 128);
    cr_assert_eq(cache.match(prefixOf('b', 1) + prefixOf('a', 2)), 0);
    cache.insert(prefixOf('c', 3));
    // The most recently used blocks are retained.
    cr_assert_eq(cache.match(prefixOf('c', 3)), 192);
    cr_assert_lt(cache.match(prefixOf('a', 2)), 128);
}

// Guards against cache events without the delay and the gaps that real engines show.
Test(PrefixCache, eventsAreDelayedAndHaveGaps)
{
    PrefixCache delayed({ 1000 * 64, 0, 1000, 1 });
    delayed.insert(prefixOf('a', 3));
    Core::SteadyClock::time_point now = Core::SteadyClock::now();
    cr_assert_eq(delayed.eventsAfter(0, now)["events"].size(), 0u);
    nlohmann::json events = delayed.eventsAfter(1, now + Milliseconds(1000));
    cr_assert_eq(events["events"].size(), 2u);
    cr_assert_eq(events["next"].get<uint64_t>(), 3u);

    PrefixCache withGaps({ 1000 * 64, 50, 0, 1 });
    withGaps.insert(prefixOf('a', 200));
    size_t reported = withGaps.eventsAfter(0, now + Milliseconds(1000))["events"].size();
    cr_assert_gt(reported, 0u);
    cr_assert_lt(reported, 200u);
}

// Guards against stored blocks that are missing from the cache events.
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

// Malformed requests must get an error response that names the field, and must not start a stream.
Test(EngineControl, malformedRequestsAreRejected)
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
