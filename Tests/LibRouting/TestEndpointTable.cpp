#include "LibRouting/EndpointTable.h"

#include <criterion/criterion.h>

using Routing::Candidate;
using Routing::EndpointTable;
using Routing::RequestEnd;
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
    table.adopt(engines(count));
    return table;
}

static void fail(EndpointTable& table, const std::string& endpoint, int times, TimePoint now)
{
    for (int failure = 0; failure < times; ++failure)
        table.recordEnd(table.recordStart(endpoint, now), RequestEnd::Failure, now);
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
Test(EndpointTable, addsOwnRequestsSinceTheReport)
{
    EndpointTable table = tableOf(1);
    RequestTicket early = table.recordStart("engine-0", at(100));
    RequestTicket late = table.recordStart("engine-0", at(300));
    cr_assert_eq(table.loadOf("engine-0"), 2);
    // The report includes the early request, although it arrives after the late one started.
    table.recordReport("engine-0", 5, at(200));
    cr_assert_eq(table.loadOf("engine-0"), 6);
    table.recordEnd(early, RequestEnd::Success, at(400));
    cr_assert_eq(table.loadOf("engine-0"), 5);
    table.recordEnd(late, RequestEnd::Success, at(450));
    cr_assert_eq(table.loadOf("engine-0"), 4);
    cr_assert_eq(table.inFlight("engine-0"), 0);
    // A report from before the ends counts both requests; the next one counts neither.
    table.recordReport("engine-0", 9, at(350));
    cr_assert_eq(table.loadOf("engine-0"), 7);
    table.recordReport("engine-0", 7, at(500));
    cr_assert_eq(table.loadOf("engine-0"), 7);
}

// Guards against an old report that arrives late and replaces a newer one, and against a load below the own requests.
Test(EndpointTable, ignoresOlderReports)
{
    EndpointTable table = tableOf(1);
    table.recordReport("engine-0", 5, at(200));
    table.recordReport("engine-0", 50, at(100));
    cr_assert_eq(table.loadOf("engine-0"), 5);
    table.recordStart("engine-0", at(50));
    table.recordReport("engine-0", 0, at(300));
    cr_assert_eq(table.loadOf("engine-0"), 1);
    table.recordReport("unknown", 4, at(300));
    cr_assert_eq(table.candidates("m", at(300)).size(), 1u);
}

// Guards against a request that ends twice.
Test(EndpointTable, endCountsOnce)
{
    EndpointTable table = tableOf(1);
    RequestTicket ticket = table.recordStart("engine-0", at(0));
    table.recordStart("engine-0", at(0));
    table.recordEnd(ticket, RequestEnd::Success, at(1));
    table.recordEnd(ticket, RequestEnd::Success, at(2));
    cr_assert_eq(table.loadOf("engine-0"), 1);
}

// Guards against new work for a withdrawn endpoint, another model's endpoint or a plain service.
Test(EndpointTable, offersOnlyIntendedEnginesOfTheModel)
{
    EndpointTable table = tableOf(3);
    std::map<std::string, Intent::Endpoint> changed = engines(3);
    changed["engine-1"].models = { "other" };
    changed["engine-2"].kind = Intent::EndpointKind::Service;
    changed.erase("engine-0");
    changed["engine-9"] = changed["engine-1"];
    changed["engine-9"].models = { "m" };
    RequestTicket running = table.recordStart("engine-0", at(0));
    table.adopt(changed);
    std::vector<Candidate> candidates = table.candidates("m", at(1));
    cr_assert_eq(candidates.size(), 1u);
    cr_assert_eq(std::string(candidates[0].name), "engine-9");
    cr_assert_eq(table.inFlight("engine-0"), 1);
    table.recordEnd(running, RequestEnd::Failure, at(2));
    cr_assert_eq(table.inFlight("engine-0"), 0);
}

// Guards against a failing endpoint that stays in use, and one failure that removes a good endpoint.
Test(EndpointTable, ejectsAfterConsecutiveFailures)
{
    EndpointTable table = tableOf(4);
    fail(table, "engine-0", 2, at(0));
    table.recordEnd(table.recordStart("engine-0", at(0)), RequestEnd::Success, at(0));
    fail(table, "engine-0", 2, at(0));
    table.recordEnd(table.recordStart("engine-0", at(0)), RequestEnd::Neutral, at(0));
    cr_assert_not(table.isEjected("engine-0", at(0)));
    fail(table, "engine-0", 1, at(0));
    cr_assert(table.isEjected("engine-0", at(999)));
    cr_assert_eq(weightOf(table, "engine-0", at(999)), 0);
}

// Guards against a return that floods an endpoint: one probe first, then an increasing share.
Test(EndpointTable, returnsWithOneProbeAndAnIncreasingShare)
{
    EndpointTable table = tableOf(4);
    fail(table, "engine-0", 3, at(0));
    cr_assert_not(table.isEjected("engine-0", at(1000)));
    cr_assert_eq(weightOf(table, "engine-0", at(1000)), 1);
    RequestTicket probe = table.recordStart("engine-0", at(1000));
    cr_assert(probe.isProbe);
    cr_assert_eq(weightOf(table, "engine-0", at(1001)), 0);
    table.recordEnd(probe, RequestEnd::Success, at(1100));
    cr_assert_eq(weightOf(table, "engine-0", at(1100)), 1);
    cr_assert_eq(weightOf(table, "engine-0", at(6100)), 5);
    cr_assert_eq(weightOf(table, "engine-0", at(20000)), 10);
    cr_assert_not(table.recordStart("engine-0", at(2000)).isProbe);
}

// Guards against a probe whose caller left: the endpoint must not stay out for ever.
Test(EndpointTable, abandonedProbeIsRepeated)
{
    EndpointTable table = tableOf(4);
    fail(table, "engine-0", 3, at(0));
    RequestTicket probe = table.recordStart("engine-0", at(1000));
    table.recordEnd(probe, RequestEnd::Neutral, at(1001));
    cr_assert_eq(weightOf(table, "engine-0", at(1001)), 1);
    cr_assert(table.recordStart("engine-0", at(1001)).isProbe);
}

// Guards against a broken endpoint that is probed ever again at the same short interval, or never again.
Test(EndpointTable, ejectionTimeGrowsUpToItsLimitAndStartsAgain)
{
    EndpointTable table = tableOf(4);
    fail(table, "engine-0", 3, at(0));
    int64_t now = 0;
    for (int64_t length : { 1000, 2000, 4000, 8000, 16000, 32000, 60000, 60000 }) {
        cr_assert(table.isEjected("engine-0", at(now + length - 1)), "%lld ms", static_cast<long long>(length));
        cr_assert_not(table.isEjected("engine-0", at(now + length)));
        now += length;
        table.recordEnd(table.recordStart("engine-0", at(now)), RequestEnd::Failure, at(now));
    }
    now += 60000;
    table.recordEnd(table.recordStart("engine-0", at(now)), RequestEnd::Success, at(now));
    now += 10000;
    table.recordEnd(table.recordStart("engine-0", at(now)), RequestEnd::Success, at(now));
    fail(table, "engine-0", 3, at(now));
    cr_assert(table.isEjected("engine-0", at(now + 999)));
    cr_assert_not(table.isEjected("engine-0", at(now + 1000)));
}

// Guards against late results of requests from before an ejection that end or prolong it.
Test(EndpointTable, requestsFromBeforeTheEjectionDoNotCount)
{
    EndpointTable table = tableOf(4);
    RequestTicket old = table.recordStart("engine-0", at(0));
    RequestTicket older = table.recordStart("engine-0", at(0));
    fail(table, "engine-0", 3, at(10));
    table.recordEnd(old, RequestEnd::Success, at(20));
    cr_assert(table.isEjected("engine-0", at(20)));
    table.recordEnd(older, RequestEnd::Failure, at(900));
    cr_assert_not(table.isEjected("engine-0", at(1010)));
}

// Guards against a fault of the daemon's own network that ejects the whole fleet.
Test(EndpointTable, ejectsAtMostHalf)
{
    EndpointTable table = tableOf(4);
    for (const char* endpoint : { "engine-0", "engine-1", "engine-2", "engine-3" })
        fail(table, endpoint, 5, at(0));
    cr_assert(table.isEjected("engine-0", at(1)));
    cr_assert(table.isEjected("engine-1", at(1)));
    cr_assert_not(table.isEjected("engine-2", at(1)));
    cr_assert_not(table.isEjected("engine-3", at(1)));
}

// Guards against the state of an earlier server at another address.
Test(EndpointTable, anotherAddressStartsAfresh)
{
    EndpointTable table = tableOf(4);
    fail(table, "engine-0", 3, at(0));
    table.recordReport("engine-0", 7, at(0));
    std::map<std::string, Intent::Endpoint> moved = engines(4);
    moved["engine-0"].address = { "127.0.0.1", 9 };
    table.adopt(moved);
    cr_assert_not(table.isEjected("engine-0", at(1)));
    cr_assert_eq(table.loadOf("engine-0"), 0);
}

// Guards against a factor that also multiplies what the report says, or that grows with the fleet without limit.
Test(EndpointTable, factorAppliesToOwnRequestsSinceTheReport)
{
    EndpointTable table = tableOf(1);
    table.setSharingDaemons(370);
    table.recordReport("engine-0", 20, at(0));
    RequestTicket ticket = table.recordStart("engine-0", at(1));
    cr_assert_eq(table.loadOf("engine-0"), 28);
    table.recordEnd(ticket, RequestEnd::Success, at(2));
    cr_assert_eq(table.loadOf("engine-0"), 20);
}
