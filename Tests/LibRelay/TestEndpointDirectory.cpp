#include "LibRelay/EndpointDirectory.h"

#include <criterion/criterion.h>

using namespace Relay;
using namespace std::chrono_literals;

static Endpoint makeEndpoint(const std::string& id, int64_t startedAtMs = 1)
{
    Endpoint endpoint;
    endpoint.id = id;
    endpoint.service = "llm";
    endpoint.address = { "10.0.0.1", 80 };
    endpoint.startedAtMs = startedAtMs;
    return endpoint;
}

static const Core::SteadyClock::time_point start = Core::SteadyClock::time_point() + 1h;

// Guards against keeping a removed endpoint while the store is available.
Test(EndpointDirectory, removedEndpointIsDroppedImmediately)
{
    int removed = 0;
    EndpointDirectory directory([&removed](const Endpoint&, const char*) { ++removed; });
    directory.put(makeEndpoint("a"));
    directory.remove("a", start);
    cr_assert_null(directory.find("a"));
    cr_assert_eq(removed, 1);
}

// Guards against dropping all endpoints because their registrations lapsed during a store outage.
Test(EndpointDirectory, lapsedEntriesAreKeptDuringTheGracePeriod)
{
    EndpointDirectory directory({});
    directory.put(makeEndpoint("back"));
    directory.put(makeEndpoint("gone"));
    directory.storeLost();
    directory.storeRegained(start);
    directory.replaceAll({}, start + 10ms);
    directory.expire(start + 1s);
    cr_assert_not_null(directory.find("back"));
    cr_assert_not_null(directory.find("gone"));
    directory.put(makeEndpoint("back"));
    directory.expire(start + 3s);
    cr_assert_not_null(directory.find("back"));
    cr_assert_null(directory.find("gone"));
}

// Guards against repeatedly trying an address that another endpoint has taken over: the entry is used again only once it has
// changed.
Test(EndpointDirectory, rejectedEntriesAreAcceptedOnceTheyChange)
{
    EndpointDirectory directory({});
    directory.put(makeEndpoint("a"));
    directory.reject("a");
    directory.put(makeEndpoint("a"));
    cr_assert_null(directory.find("a"));
    directory.put(makeEndpoint("a", 2));
    cr_assert_not_null(directory.find("a"));
}

// Guards against using an address that another endpoint has taken over because the cold time in the entry counts down.
Test(EndpointDirectory, rejectedEntryStaysRejectedWhenItsColdTimeChanges)
{
    EndpointDirectory directory({});
    Endpoint endpoint = makeEndpoint("a");
    endpoint.coldLeftMs = 3'000;
    directory.put(endpoint);
    directory.reject("a");
    endpoint.coldLeftMs = 2'000;
    directory.put(endpoint);
    cr_assert_null(directory.find("a"));
    endpoint.coldLeftMs.reset();
    endpoint.coldLeftFault = "negative";
    directory.replaceAll({ endpoint }, start);
    cr_assert_null(directory.find("a"));
    endpoint.startedAtMs = 2;
    directory.put(endpoint);
    cr_assert_not_null(directory.find("a"));
}

// Guards against sending requests to a process that has said that it is leaving, because the store lags behind, is away, or lists it
// as ready again.
Test(EndpointDirectory, leavingProcessStaysLeavingWhateverTheStoreLists)
{
    EndpointDirectory directory({});
    directory.put(makeEndpoint("a", 5));
    cr_assert(directory.markLeaving(makeEndpoint("a", 5), start));
    cr_assert_not(directory.markLeaving(makeEndpoint("a", 5), start));
    cr_assert(directory.find("a")->isLeaving);
    directory.put(makeEndpoint("a", 5));
    cr_assert(directory.find("a")->isLeaving);
    directory.replaceAll({ makeEndpoint("a", 5) }, start);
    cr_assert(directory.find("a")->isLeaving);
    // An earlier process, from a listing that lags behind, has ended: the leaving one answers at its address.
    directory.put(makeEndpoint("a", 4));
    cr_assert(directory.find("a")->isLeaving);
    directory.storeLost();
    directory.storeRegained(start + 1s);
    directory.replaceAll({}, start + 1s);
    directory.put(makeEndpoint("a", 5));
    cr_assert(directory.find("a")->isLeaving);
    directory.remove("a", start + 10s);
    directory.expire(start + 10s);
    cr_assert_null(directory.find("a"));
    directory.put(makeEndpoint("a", 5));
    cr_assert(directory.find("a")->isLeaving);
    directory.reject("a");
    directory.put(makeEndpoint("a", 5));
    cr_assert_null(directory.find("a"));
}

// Guards against avoiding a new process because an earlier one under the same id has left, and against using the earlier one again
// when a listing that lags behind follows.
Test(EndpointDirectory, laterProcessUnderTheSameIdIsUsable)
{
    EndpointDirectory directory({});
    directory.put(makeEndpoint("a", 5));
    directory.markLeaving(makeEndpoint("a", 5), start);
    directory.put(makeEndpoint("a", 6));
    cr_assert_not(directory.find("a")->isLeaving);
    cr_assert_not(directory.isLeaving(makeEndpoint("a", 6)));
    cr_assert(directory.isLeaving(makeEndpoint("a", 5)));
    // A late answer of the earlier process.
    cr_assert_not(directory.markLeaving(makeEndpoint("a", 5), start));
    cr_assert_not(directory.find("a")->isLeaving);
    directory.put(makeEndpoint("a", 5));
    cr_assert(directory.find("a")->isLeaving);
    directory.put(makeEndpoint("a", 6));
    cr_assert(directory.markLeaving(makeEndpoint("a", 6), start));
    cr_assert_not(directory.markLeaving(makeEndpoint("a", 5), start));
    directory.put(makeEndpoint("a", 6));
    cr_assert(directory.find("a")->isLeaving);
}

// Guards against taking a changed entry for a new process where the start time is unknown.
Test(EndpointDirectory, leavingEntryWithoutAStartTimeIsReplacedByRemovalOnly)
{
    EndpointDirectory directory({});
    directory.put(makeEndpoint("a", 0));
    directory.markLeaving(makeEndpoint("a", 0), start);
    directory.put(makeEndpoint("a", 0));
    cr_assert(directory.find("a")->isLeaving);
    directory.put(makeEndpoint("a", 7));
    cr_assert(directory.find("a")->isLeaving);
    // A lapse during an outage of the store is no removal.
    directory.storeLost();
    directory.remove("a", start);
    directory.put(makeEndpoint("a", 0));
    cr_assert(directory.find("a")->isLeaving);
    directory.storeRegained(start);
    directory.remove("a", start + 10s);
    directory.put(makeEndpoint("a", 0));
    cr_assert_not(directory.find("a")->isLeaving);
    // An answer that arrives after the removal says nothing about the next process.
    directory.remove("a", start + 10s);
    cr_assert_not(directory.markLeaving(makeEndpoint("a", 0), start + 10s));
    directory.put(makeEndpoint("a", 0));
    cr_assert_not(directory.find("a")->isLeaving);
}

// Guards against memory that grows with each endpoint that has left.
Test(EndpointDirectory, leavingProcessIsForgottenOnceItIsNoLongerRegistered)
{
    EndpointDirectory directory({});
    directory.put(makeEndpoint("a", 5));
    directory.markLeaving(makeEndpoint("a", 5), start);
    directory.expire(start + 1h);
    directory.put(makeEndpoint("a", 5));
    cr_assert(directory.find("a")->isLeaving);
    directory.remove("a", start + 1h);
    directory.expire(start + 1h + 1min);
    cr_assert_eq(directory.leavingProcesses(), 1);
    directory.expire(start + 2h);
    cr_assert_eq(directory.leavingProcesses(), 0);
}

// Guards against sending requests to an endpoint that has left, or is leaving, because a restored store lists it as it was before.
Test(EndpointDirectory, restoredStoreDoesNotBringBackWhatHasLeft)
{
    EndpointDirectory directory({});
    directory.put(makeEndpoint("left"));
    Endpoint leaving = makeEndpoint("leaving");
    leaving.isLeaving = true;
    directory.put(leaving);
    directory.put(makeEndpoint("restarted", 1));
    directory.remove("left", start);
    directory.remove("restarted", start);
    directory.storeRestored(start + 1s);
    directory.replaceAll({ makeEndpoint("left"), makeEndpoint("leaving"), makeEndpoint("restarted", 2) }, start + 1s);
    cr_assert_null(directory.find("left"));
    cr_assert(directory.find("leaving")->isLeaving);
    cr_assert_not_null(directory.find("restarted"));
    directory.expire(start + 10s);
    directory.put(makeEndpoint("leaving"));
    cr_assert(directory.find("leaving")->isLeaving);
    directory.put(makeEndpoint("leaving", 2));
    cr_assert_not(directory.find("leaving")->isLeaving);
    // Its registration had lapsed, and it registers again.
    directory.put(makeEndpoint("left"));
    cr_assert_not_null(directory.find("left"));
}

// Guards against dropping endpoints that a restored store lacks before they have had time to register again, and against keeping them.
Test(EndpointDirectory, endpointsThatARestoredStoreLacksHaveTimeToReturn)
{
    EndpointDirectory directory({});
    directory.put(makeEndpoint("back"));
    directory.put(makeEndpoint("gone"));
    directory.storeRestored(start);
    directory.replaceAll({}, start);
    cr_assert_not_null(directory.find("back"));
    directory.put(makeEndpoint("back"));
    directory.expire(start + 3s);
    cr_assert_not_null(directory.find("back"));
    cr_assert_null(directory.find("gone"));
}
