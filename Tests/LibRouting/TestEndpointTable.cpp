#include "LibRouting/EndpointTable.h"

#include <criterion/criterion.h>

using Routing::Candidate;
using Routing::EndpointTable;
using Routing::RequestResult;
using Routing::RequestTicket;
using Milliseconds = std::chrono::milliseconds;
using TimePoint = EndpointTable::TimePoint;

static TimePoint at(int64_t ms)
{
    return TimePoint {} + Milliseconds(ms);
}

static std::map<std::string, Intent::Endpoint> engines(int count)
{
    std::map<std::string, Intent::Endpoint> endpoints;
    for (int number = 0; number < count; ++number) {
        Intent::Endpoint endpoint;
        endpoint.name = "engine-" + std::to_string(number);
        endpoint.models = { "m" };
        endpoint.slots = 10;
        endpoints[endpoint.name] = endpoint;
    }
    return endpoints;
}

static EndpointTable tableOf(int count)
{
    EndpointTable table({});
    table.setEndpoints(engines(count));
    return table;
}

static void fail(EndpointTable& table, const std::string& endpoint, int times, TimePoint now)
{
    for (int failure = 0; failure < times; ++failure)
        table.recordEnd(table.recordStart(endpoint, now), RequestResult::Failure, now);
}

static double weightOf(const EndpointTable& table, const std::string& endpoint, TimePoint now)
{
    for (const Candidate& candidate : table.candidates("m", now)) {
        if (candidate.name == endpoint)
            return candidate.weight;
    }
    return -1;
}

// Guards against requests that are counted twice or not at all between two load reports.
Test(EndpointTable, addsOwnRequestsSinceLastReport)
{
    EndpointTable table = tableOf(1);
    RequestTicket early = table.recordStart("engine-0", at(100));
    RequestTicket late = table.recordStart("engine-0", at(300));
    cr_assert_eq(table.loadOf("engine-0"), 2);
    // The report arrives after the start of the late request, but was measured before it.
    table.recordLoadReport("engine-0", 5, at(200));
    cr_assert_eq(table.loadOf("engine-0"), 6);
    table.recordEnd(early, RequestResult::Success, at(400));
    cr_assert_eq(table.loadOf("engine-0"), 5);
    table.recordEnd(late, RequestResult::Success, at(450));
    cr_assert_eq(table.loadOf("engine-0"), 4);
    cr_assert_eq(table.inFlight("engine-0"), 0);
    // This report was measured before both requests ended and includes them; the next one includes neither.
    table.recordLoadReport("engine-0", 9, at(350));
    cr_assert_eq(table.loadOf("engine-0"), 7);
    table.recordLoadReport("engine-0", 7, at(500));
    cr_assert_eq(table.loadOf("engine-0"), 7);
}

// Guards against an older report that arrives late and replaces a newer one, and against a load estimate below the number
// of own requests in flight.
Test(EndpointTable, ignoresOlderReports)
{
    EndpointTable table = tableOf(1);
    table.recordLoadReport("engine-0", 5, at(200));
    table.recordLoadReport("engine-0", 50, at(100));
    cr_assert_eq(table.loadOf("engine-0"), 5);
    table.recordStart("engine-0", at(50));
    table.recordLoadReport("engine-0", 0, at(300));
    cr_assert_eq(table.loadOf("engine-0"), 1);
    table.recordLoadReport("unknown", 4, at(300));
    cr_assert_eq(table.candidates("m", at(300)).size(), 1u);
}

// Guards against a request whose end is counted twice.
Test(EndpointTable, endIsCountedOnce)
{
    EndpointTable table = tableOf(1);
    RequestTicket ticket = table.recordStart("engine-0", at(0));
    table.recordStart("engine-0", at(0));
    table.recordEnd(ticket, RequestResult::Success, at(1));
    table.recordEnd(ticket, RequestResult::Success, at(2));
    cr_assert_eq(table.loadOf("engine-0"), 1);
}

// Guards against new requests to a withdrawn endpoint, an endpoint of another model or a plain service.
Test(EndpointTable, candidatesAreConfiguredEnginesOfTheModel)
{
    EndpointTable table = tableOf(3);
    std::map<std::string, Intent::Endpoint> changed = engines(3);
    changed["engine-1"].models = { "other" };
    changed["engine-2"].kind = Intent::EndpointKind::Service;
    changed.erase("engine-0");
    changed["engine-9"] = changed["engine-1"];
    changed["engine-9"].models = { "m" };
    RequestTicket running = table.recordStart("engine-0", at(0));
    table.setEndpoints(changed);
    std::vector<Candidate> candidates = table.candidates("m", at(1));
    cr_assert_eq(candidates.size(), 1u);
    cr_assert_eq(std::string(candidates[0].name), "engine-9");
    cr_assert_eq(table.inFlight("engine-0"), 1);
    table.recordEnd(running, RequestResult::Failure, at(2));
    cr_assert_eq(table.inFlight("engine-0"), 0);
}

// Guards against a failing endpoint that is not ejected, and an endpoint that is ejected after isolated failures.
Test(EndpointTable, ejectsAfterConsecutiveFailures)
{
    EndpointTable table = tableOf(4);
    fail(table, "engine-0", 2, at(0));
    table.recordEnd(table.recordStart("engine-0", at(0)), RequestResult::Success, at(0));
    fail(table, "engine-0", 2, at(0));
    table.recordEnd(table.recordStart("engine-0", at(0)), RequestResult::Neutral, at(0));
    cr_assert_not(table.isEjected("engine-0", at(0)));
    fail(table, "engine-0", 1, at(0));
    cr_assert(table.isEjected("engine-0", at(999)));
    cr_assert_eq(weightOf(table, "engine-0", at(999)), 0);
}

// Guards against a burst of requests after an ejection: a single probe must succeed before the share increases slowly.
Test(EndpointTable, slowStartFollowsSuccessfulProbe)
{
    EndpointTable table = tableOf(4);
    fail(table, "engine-0", 3, at(0));
    cr_assert_not(table.isEjected("engine-0", at(1000)));
    cr_assert_eq(weightOf(table, "engine-0", at(1000)), 1);
    RequestTicket probe = table.recordStart("engine-0", at(1000));
    cr_assert(probe.isProbe);
    cr_assert_eq(weightOf(table, "engine-0", at(1001)), 0);
    table.recordEnd(probe, RequestResult::Success, at(1100));
    cr_assert_eq(weightOf(table, "engine-0", at(1100)), 1);
    cr_assert_eq(weightOf(table, "engine-0", at(6100)), 5);
    cr_assert_eq(weightOf(table, "engine-0", at(20000)), 10);
    cr_assert_not(table.recordStart("engine-0", at(2000)).isProbe);
}

// Guards against an endpoint that stays ejected forever because its probe was cancelled by the caller.
Test(EndpointTable, cancelledProbeIsRepeated)
{
    EndpointTable table = tableOf(4);
    fail(table, "engine-0", 3, at(0));
    RequestTicket probe = table.recordStart("engine-0", at(1000));
    table.recordEnd(probe, RequestResult::Neutral, at(1001));
    cr_assert_eq(weightOf(table, "engine-0", at(1001)), 1);
    cr_assert(table.recordStart("engine-0", at(1001)).isProbe);
}

// Guards against a failing endpoint that is probed at a constant short interval, or never again.
Test(EndpointTable, ejectionTimeBacksOffAndResets)
{
    EndpointTable table = tableOf(4);
    fail(table, "engine-0", 3, at(0));
    int64_t now = 0;
    for (int64_t length : { 1000, 2000, 4000, 8000, 16000, 32000, 60000, 60000 }) {
        cr_assert(table.isEjected("engine-0", at(now + length - 1)), "%lld ms", static_cast<long long>(length));
        cr_assert_not(table.isEjected("engine-0", at(now + length)));
        now += length;
        table.recordEnd(table.recordStart("engine-0", at(now)), RequestResult::Failure, at(now));
    }
    now += 60000;
    table.recordEnd(table.recordStart("engine-0", at(now)), RequestResult::Success, at(now));
    now += 10000;
    table.recordEnd(table.recordStart("engine-0", at(now)), RequestResult::Success, at(now));
    fail(table, "engine-0", 3, at(now));
    cr_assert(table.isEjected("engine-0", at(now + 999)));
    cr_assert_not(table.isEjected("engine-0", at(now + 1000)));
}

// Guards against an ejection that is ended or prolonged by requests that started before it.
Test(EndpointTable, requestsStartedBeforeEjectionAreIgnored)
{
    EndpointTable table = tableOf(4);
    RequestTicket old = table.recordStart("engine-0", at(0));
    RequestTicket older = table.recordStart("engine-0", at(0));
    fail(table, "engine-0", 3, at(10));
    table.recordEnd(old, RequestResult::Success, at(20));
    cr_assert(table.isEjected("engine-0", at(20)));
    table.recordEnd(older, RequestResult::Failure, at(900));
    cr_assert_not(table.isEjected("engine-0", at(1010)));
}

// Guards against the ejection of all endpoints after a failure of the daemon's own network.
Test(EndpointTable, ejectsAtMostHalfOfTheEndpoints)
{
    EndpointTable table = tableOf(4);
    for (const char* endpoint : { "engine-0", "engine-1", "engine-2", "engine-3" })
        fail(table, endpoint, 5, at(0));
    cr_assert(table.isEjected("engine-0", at(1)));
    cr_assert(table.isEjected("engine-1", at(1)));
    cr_assert_not(table.isEjected("engine-2", at(1)));
    cr_assert_not(table.isEjected("engine-3", at(1)));
}

// Guards against an endpoint with a new address that keeps the health and load of the previous server.
Test(EndpointTable, newAddressResetsHealthAndLoad)
{
    EndpointTable table = tableOf(4);
    fail(table, "engine-0", 3, at(0));
    table.recordLoadReport("engine-0", 7, at(0));
    std::map<std::string, Intent::Endpoint> moved = engines(4);
    moved["engine-0"].address = { "127.0.0.1", 9 };
    table.setEndpoints(moved);
    cr_assert_not(table.isEjected("engine-0", at(1)));
    cr_assert_eq(table.loadOf("engine-0"), 0);
}

// Guards against a multiplier that also applies to the reported load, or that grows with the fleet without limit.
Test(EndpointTable, multiplierAppliesToOwnRequestsSinceLastReport)
{
    EndpointTable table = tableOf(1);
    table.setDaemonCount(370);
    table.recordLoadReport("engine-0", 20, at(0));
    RequestTicket ticket = table.recordStart("engine-0", at(1));
    cr_assert_eq(table.loadOf("engine-0"), 28);
    table.recordEnd(ticket, RequestResult::Success, at(2));
    cr_assert_eq(table.loadOf("engine-0"), 20);
}
