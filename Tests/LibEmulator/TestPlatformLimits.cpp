#include "../../Libraries/LibEmulator/src/DelayedHostList.h"
#include "../../Libraries/LibEmulator/src/RateLimiter.h"
#include "PlatformFixture.h"
#include <nlohmann/json.hpp>

using Core::FailureKind;
using Platform::HostRecord;
using Platform::HostState;
using namespace std::chrono_literals;

// Guards against a limiter that exceeds its burst capacity plus its rate, or that is not refilled.
Test(PlatformLimits, rateLimiterRefillsWithTime)
{
    Core::SteadyClock::time_point start;
    Emulator::RateLimiter limiter(10, start);
    int taken = 0;
    for (int i = 0; i < 50; ++i)
        taken += limiter.tryAcquire(start);
    cr_assert_eq(taken, 10);
    cr_assert_eq(limiter.retryAfterSeconds(), 1u);
    for (int millisecond = 1; millisecond <= 2000; ++millisecond)
        taken += limiter.tryAcquire(start + std::chrono::milliseconds(millisecond));
    cr_assert_geq(taken, 29);
    cr_assert_leq(taken, 30);
    Emulator::RateLimiter slow(0.25, start);
    cr_assert(slow.tryAcquire(start));
    cr_assert_not(slow.tryAcquire(start));
    cr_assert_eq(slow.retryAfterSeconds(), 4u);
    cr_assert(slow.tryAcquire(start + 4s));
    Emulator::RateLimiter none(0, start);
    for (int i = 0; i < 50; ++i)
        cr_assert(none.tryAcquire(start));
}

// Guards against exceeding the write rate, and against counting reads towards the write limit.
Test(PlatformLimits, writesAreLimitedApartFromReads)
{
    PlatformFixture fixture({ .writesPerSecond = 0.0001 });
    cr_assert(fixture.put("a/1", "one"));
    cr_assert_not(fixture.put("a/1", "two", 1));
    cr_assert_eq(fixture.reason.kind, FailureKind::RateLimited);
    cr_assert_not(fixture.remove("a/1", 1));
    cr_assert_eq(fixture.reason.kind, FailureKind::RateLimited);
    cr_assert_eq(fixture.get("a/1")->value, "one");
    HTTP::Response response = fixture.send({ "PUT", "/v1/objects/a/2", { { "If-None-Match", "*" } }, "" });
    cr_assert_eq(response.status, 429u);
    cr_assert_eq(HTTP::findHeader(response.headers, "Retry-After").value_or(""), "3600");
    Emulator::PlatformCounters counters = fixture.emulator.counters();
    cr_assert_eq(counters.rateLimited, 3u);
    cr_assert_eq(counters.put, 1u);
    cr_assert_eq(counters.remove, 0u);
}

// Lists, watches and host lists must count towards the read limit, and a waiting watch must count only once.
Test(PlatformLimits, everyReadCountsOnce)
{
    PlatformFixture fixture({ .readsPerSecond = 0.0001 });
    cr_assert(fixture.put("a/1", "one"));
    cr_assert_eq(fixture.send({ "GET", "/v1/watch?prefix=a/&since=1&timeout_ms=1000", {}, "" }).status, 200u);
    cr_assert_not(fixture.list("a/"));
    cr_assert_eq(fixture.reason.kind, FailureKind::RateLimited);
    cr_assert_not(fixture.get("a/1"));
    cr_assert_eq(fixture.reason.kind, FailureKind::RateLimited);
    cr_assert_not(fixture.watch("a/", 1));
    cr_assert_eq(fixture.reason.kind, FailureKind::RateLimited);
    cr_assert_not(Testing::run(fixture.context,
        Platform::HostList(fixture.client, fixture.address, "host-a").read(Testing::soon(), fixture.reason)));
    cr_assert_eq(fixture.reason.kind, FailureKind::RateLimited);
    cr_assert_eq(fixture.emulator.counters().rateLimited, 4u);
    cr_assert(fixture.put("a/2", "two"));
}

// Guards against exceeding the limit of waiting watches, and against counting watches that have ended.
Test(PlatformLimits, waitingWatchesAreLimited)
{
    PlatformFixture fixture({ .watchLimit = 1 });
    Core::Reason reason;
    std::shared_ptr<std::optional<std::optional<Platform::Changes>>> first
        = Testing::start(fixture.context, fixture.store.watch("a/", 0, Testing::soon(), reason));
    Testing::runUntil(fixture.context, [&] { return fixture.emulator.counters().waitingWatches == 1; });
    cr_assert_not(fixture.watch("a/", 0));
    cr_assert_eq(fixture.reason.kind, FailureKind::RateLimited);
    cr_assert(fixture.put("a/1", "one"));
    Testing::runUntil(fixture.context, [&] { return first->has_value(); });
    cr_assert_eq(fixture.watch("a/", 0)->changes.size(), 1u);
}

// Without the lag, readers would never be tested with an outdated host list.
Test(PlatformLimits, hostListsBecomeVisibleInOrderAfterTheLag)
{
    Core::SteadyClock::time_point start;
    std::vector<HostRecord> first { { "a", "d1", HostState::Live } };
    std::vector<HostRecord> second { { "a", "d1", HostState::Leaving } };
    std::vector<HostRecord> third {};
    Emulator::DelayedHostList hosts(first, 5s);
    hosts.set(second, start);
    hosts.set(third, start + 3s);
    cr_assert(hosts.visible(start + 4s) == first);
    cr_assert(hosts.visible(start + 5s) == second);
    cr_assert(hosts.visible(start + 8s) == third);
}

// Guards against lost fields of host records, and against replacing the host list by a malformed one.
Test(PlatformLimits, hostListIsServed)
{
    PlatformFixture fixture({ .hosts = { { "a", "d1", HostState::Live } } });
    Platform::HostList list(fixture.client, fixture.address, "host-a");
    std::vector<HostRecord> hosts { { "a", "d1", HostState::Leaving }, { "b", "d2", HostState::Live } };
    cr_assert_eq(fixture.send({ "POST", "/control/hosts", {}, Platform::encodeHosts(hosts) }).status, 200u);
    cr_assert(Testing::run(fixture.context, list.read(Testing::soon(), fixture.reason)) == hosts);
    for (const char* body : { "", "{}", R"([{"host":"a"}])", R"([{"host":"a","failure_domain":"d","state":"up"}])", "[1]" })
        cr_assert_eq(fixture.send({ "POST", "/control/hosts", {}, body }).status, 400u, "%s", body);
    cr_assert(Testing::run(fixture.context, list.read(Testing::soon(), fixture.reason)) == hosts);
}

// Guards against changed names or meanings of counters, which tests of other libraries read.
Test(PlatformLimits, countersAreReported)
{
    PlatformFixture fixture;
    fixture.put("a/1", "12345");
    fixture.put("a/1", "12345");
    fixture.get("a/1");
    fixture.list("a/");
    fixture.watch("a/", 0);
    fixture.remove("a/1", 1);
    nlohmann::json report = nlohmann::json::parse(fixture.send({ "GET", "/control/counters", {}, "" }).body);
    cr_assert_eq(report["put"], 2);
    cr_assert_eq(report["get"], 1);
    cr_assert_eq(report["list"], 1);
    cr_assert_eq(report["watch"], 1);
    cr_assert_eq(report["remove"], 1);
    cr_assert_eq(report["conflicts"], 1);
    cr_assert_eq(report["rate_limited"], 0);
    cr_assert_eq(report["lost_replies"], 0);
    cr_assert_eq(report["waiting_watches"], 0);
    cr_assert_eq(report["bytes_received"], 10);
    cr_assert_gt(report["bytes_sent"], 5);
    cr_assert_eq(report["revision"], 2);
}
