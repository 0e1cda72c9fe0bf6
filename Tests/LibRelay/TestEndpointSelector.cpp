#include "LibCore/Hash.h"
#include "LibRelay/EndpointSelector.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <random>

using namespace Relay;

static constexpr uint64_t affinity = 42;

static Endpoint makeEndpoint(size_t number)
{
    Endpoint endpoint;
    endpoint.id = "i-" + std::to_string(number * 2654435761);
    endpoint.service = "engines";
    endpoint.failureDomain = "zone-a";
    return endpoint;
}

// The same choice made by sorting all endpoints, with the load of each given.
static std::string chooseBySorting(std::vector<std::string> ids, const std::map<std::string, size_t>& loads, uint64_t key)
{
    std::sort(ids.begin(), ids.end(), [key](const std::string& a, const std::string& b) { return Core::hash64(a, key) > Core::hash64(b, key); });
    double total = 0;
    for (const std::string& id : ids)
        total += static_cast<double>(loads.at(id));
    for (const std::string& id : ids) {
        if (static_cast<double>(loads.at(id)) <= 3 + 1.5 * total / static_cast<double>(ids.size()))
            return id;
    }
    return "";
}

// Guards against the choice in one pass differing from the rendezvous order with bounded loads that it stands for: all daemons have to
// send a shared prompt to the same endpoint.
Test(EndpointSelector, affinityFollowsTheRendezvousOrder)
{
    std::mt19937_64 random(3);
    for (int round = 0; round < 200; ++round) {
        EndpointDirectory directory({});
        EndpointSelector selector(directory, "zone-a");
        Core::SteadyClock::time_point now = Core::SteadyClock::now();
        std::vector<std::string> ids;
        std::map<std::string, size_t> loads;
        for (size_t i = 0; i < 1 + random() % 30; ++i) {
            Endpoint endpoint = makeEndpoint(i);
            ids.push_back(endpoint.id);
            loads[endpoint.id] = random() % 12;
            for (size_t load = 0; load < loads[endpoint.id]; ++load)
                selector.recordStart(endpoint.id, now);
            directory.put(std::move(endpoint));
        }
        uint64_t key = random() | 1;
        cr_assert_eq(selector.choose({ "engines", true, key, {} }, now)->id, chooseBySorting(ids, loads, key), "round %d", round);
    }
}

// The fastest of many choices among so many endpoints, of which the given number pause.
static std::chrono::nanoseconds timeOfAChoice(size_t endpoints, size_t paused)
{
    EndpointDirectory directory({});
    EndpointSelector selector(directory, "zone-a");
    Core::SteadyClock::time_point now = Core::SteadyClock::now();
    for (size_t i = 0; i < endpoints; ++i) {
        directory.put(makeEndpoint(i));
        if (i < paused)
            selector.recordPause(makeEndpoint(i), now + std::chrono::hours(1), now);
    }
    std::chrono::nanoseconds fastest = std::chrono::hours(1);
    for (uint64_t i = 0; i < 200; ++i) {
        Core::SteadyClock::time_point startedAt = Core::SteadyClock::now();
        cr_assert(selector.choose({ "engines", true, affinity + i, {} }, startedAt));
        fastest = std::min<std::chrono::nanoseconds>(fastest, Core::SteadyClock::now() - startedAt);
    }
    return fastest;
}

// Guards against processor time that grows faster than the number of endpoints: sorting them hashed each some 15 times per request,
// on hosts with an eighth of a core. Choices for 600 endpoints have to take a small multiple of those for 60.
Test(EndpointSelector, costOfAChoiceGrowsLinearly)
{
    std::chrono::nanoseconds few = timeOfAChoice(60, 0);
    std::chrono::nanoseconds many = timeOfAChoice(600, 0);
    cr_log_info("choice among 600 endpoints: %ld ns", static_cast<long>(many.count()));
    cr_assert_lt(many, few * 20, "%ld and %ld ns", static_cast<long>(few.count()), static_cast<long>(many.count()));
}

// Guards against the same while most endpoints pause, as in an overload, when processor time is short.
Test(EndpointSelector, costOfAChoiceGrowsLinearlyWhileEndpointsPause)
{
    std::chrono::nanoseconds few = timeOfAChoice(60, 59);
    std::chrono::nanoseconds many = timeOfAChoice(600, 599);
    cr_log_info("choice among 600 endpoints, 599 of them paused: %ld ns", static_cast<long>(many.count()));
    cr_assert_lt(many, few * 20, "%ld and %ld ns", static_cast<long>(few.count()), static_cast<long>(many.count()));
}

// An endpoint whose process started at this time.
static Endpoint startedAt(int64_t startedAtMs)
{
    Endpoint endpoint = makeEndpoint(0);
    endpoint.startedAtMs = startedAtMs;
    return endpoint;
}

// Guards against choosing an endpoint that asked for a pause, also as the last resort, and against avoiding it afterwards.
Test(EndpointSelector, pausedEndpointIsNotChosenUntilThePauseEnds)
{
    EndpointDirectory directory({});
    EndpointSelector selector(directory, "zone-a");
    Core::SteadyClock::time_point now = Core::SteadyClock::now();
    Core::SteadyClock::time_point until = now + std::chrono::seconds(2);
    Core::SteadyClock::time_point last = until - std::chrono::nanoseconds(1);
    Endpoint paused = makeEndpoint(0);
    Endpoint other = makeEndpoint(1);
    directory.put(paused);
    directory.put(other);
    cr_assert(selector.recordPause(paused, until, now));
    // Neither a shorter pause nor the same one changes it.
    cr_assert_not(selector.recordPause(paused, now + std::chrono::seconds(1), now));
    cr_assert_not(selector.recordPause(paused, until, now));
    for (uint64_t key = 0; key < 50; ++key)
        cr_assert_eq(selector.choose({ "engines", true, key, {} }, last)->id, other.id);
    selector.recordOverload(other.id, last);
    cr_assert_eq(selector.choose({ "engines", true, 0, {} }, last)->id, other.id);
    cr_assert_not(selector.hasHealthy({ "engines", true, 0, {} }, last));
    cr_assert(selector.nextPermitAt({ "engines", false, 0, {} }, last));
    cr_assert_not(selector.takesRequestsAt("engines", last));
    SelectionQuery onlyPaused { "engines", true, 0, { other.id } };
    cr_assert_null(selector.choose(onlyPaused, last));
    cr_assert_not(selector.takesRequests(paused, last));
    cr_assert(selector.takesRequests(paused, until));
    cr_assert_eq(selector.choose(onlyPaused, until)->id, paused.id);
    cr_assert(selector.hasHealthy(onlyPaused, until));
}

// Guards against inviting callers back at another time than the end of the shortest pause.
Test(EndpointSelector, serviceIsUnavailableUntilTheShortestPauseEnds)
{
    EndpointDirectory directory({});
    EndpointSelector selector(directory, "zone-a");
    Core::SteadyClock::time_point now = Core::SteadyClock::now();
    cr_assert_not(selector.takesRequestsAt("engines", now));
    for (size_t i = 0; i < 3; ++i) {
        directory.put(makeEndpoint(i));
        cr_assert(selector.nextPermitAt({ "engines", false, 0, {} }, now));
        cr_assert_not(selector.takesRequestsAt("engines", now));
        selector.recordPause(makeEndpoint(i), now + std::chrono::seconds(5 - i), now);
    }
    // One that leaves does not return.
    directory.markLeaving(makeEndpoint(2), now);
    Endpoint foreign = makeEndpoint(3);
    foreign.service = "other";
    directory.put(foreign);
    cr_assert_not(selector.nextPermitAt({ "engines", false, 0, {} }, now));
    cr_assert(selector.takesRequestsAt("engines", now) == now + std::chrono::seconds(4));
    cr_assert_not(selector.takesRequestsAt("engines", now + std::chrono::seconds(4)));
}

// Guards against ending a pause because the registration lapsed, and against avoiding a new process for the pause of an earlier one.
Test(EndpointSelector, pauseBelongsToTheProcess)
{
    EndpointDirectory directory({});
    EndpointSelector selector(directory, "zone-a");
    Core::SteadyClock::time_point now = Core::SteadyClock::now();
    Core::SteadyClock::time_point until = now + std::chrono::seconds(2);
    selector.recordPause(startedAt(5), until, now);
    selector.forget(makeEndpoint(0).id);
    cr_assert(selector.isPaused(startedAt(5), now));
    cr_assert(selector.isPaused(startedAt(4), now));
    cr_assert_not(selector.isPaused(startedAt(6), now));
    selector.recordPause(startedAt(6), until, now);
    // A late answer of the earlier process.
    cr_assert_not(selector.recordPause(startedAt(5), until + std::chrono::seconds(9), now));
    cr_assert(selector.isPaused(startedAt(6), now));
    cr_assert_not(selector.isPaused(startedAt(6), until));
    cr_assert_not(selector.isPaused(startedAt(7), now));

    // Without a start time, only a removal shows that the process has ended.
    EndpointSelector withoutStart(directory, "zone-a");
    withoutStart.recordPause(startedAt(0), until, now);
    cr_assert(withoutStart.isPaused(startedAt(0), now));
    cr_assert(withoutStart.isPaused(startedAt(7), now));
    withoutStart.forget(makeEndpoint(0).id);
    cr_assert_not(withoutStart.isPaused(startedAt(0), now));
}
