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

// Guards against processor time that grows faster than the number of endpoints: sorting them hashed each some 15 times per request,
// on hosts with an eighth of a core. Choices for 600 endpoints have to take a small multiple of those for 60.
Test(EndpointSelector, costOfAChoiceGrowsLinearly)
{
    auto timeOf = [](size_t endpoints) {
        EndpointDirectory directory({});
        EndpointSelector selector(directory, "zone-a");
        for (size_t i = 0; i < endpoints; ++i)
            directory.put(makeEndpoint(i));
        std::chrono::nanoseconds fastest = std::chrono::hours(1);
        for (uint64_t i = 0; i < 200; ++i) {
            Core::SteadyClock::time_point startedAt = Core::SteadyClock::now();
            cr_assert(selector.choose({ "engines", true, affinity + i, {} }, startedAt));
            fastest = std::min<std::chrono::nanoseconds>(fastest, Core::SteadyClock::now() - startedAt);
        }
        return fastest;
    };
    std::chrono::nanoseconds few = timeOf(60);
    std::chrono::nanoseconds many = timeOf(600);
    cr_log_info("choice among 600 endpoints: %ld ns", static_cast<long>(many.count()));
    cr_assert_lt(many, few * 20, "%ld and %ld ns", static_cast<long>(few.count()), static_cast<long>(many.count()));
}
