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
