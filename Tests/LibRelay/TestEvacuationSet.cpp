#include "LibPlatform/InMemoryObjectStore.h"
#include "LibRelay/EndpointSelector.h"
#include "LibRelay/EvacuationSet.h"
#include "RunTask.h"
#include <random>

using namespace Relay;
using Core::SteadyClock;
using std::chrono::milliseconds;

static const std::string prefix = "evacuations/";
// The users' limit.
static constexpr milliseconds limit(5'000);

static Platform::Change change(const std::string& name, bool isDeleted = false)
{
    return { { prefix + name, 1, "{}" }, isDeleted };
}

namespace {

struct RecordedSet {
    std::vector<std::string> adopted;
    std::vector<std::string> lifted;
    EvacuationSet set { prefix, { [this](const std::string& name) { adopted.push_back(name); }, [this](const std::string& name) { lifted.push_back(name); } } };
};

}

// Guards against an evacuation that is missed because of the value or the name of its object, and against one that is reported twice.
Test(EvacuationSet, anyObjectOfTheKindCountsUnderItsName)
{
    RecordedSet recorded;
    for (const char* value : { "{}", "null", "[1]", "no JSON", "" })
        recorded.set.adopt({ { prefix + "zone-a", 1, value }, false });
    cr_assert(recorded.set.isEvacuated("zone-a"));
    cr_assert_eq(recorded.adopted, std::vector<std::string> { "zone-a" });
    for (const char* name : { "zone%20b", "a/b", "100%", "%zz", "z\n" })
        recorded.set.adopt(change(name));
    for (const char* failureDomain : { "zone%20b", "zone b", "a/b", "100%", "%zz", "z\n" })
        cr_assert(recorded.set.isEvacuated(failureDomain), "%s", failureDomain);
    for (const char* failureDomain : { "", "zone", "a", "zone-", "zone-aa" })
        cr_assert_not(recorded.set.isEvacuated(failureDomain), "%s", failureDomain);
    // An object without a name concerns no endpoint, also none without a failure domain.
    recorded.set.adopt(change(""));
    cr_assert_not(recorded.set.isEvacuated(""));
    recorded.set.adopt(change("zone%20b", true));
    cr_assert_not(recorded.set.isEvacuated("zone b"));
    recorded.set.replaceAll({});
    cr_assert(recorded.set.failureDomains().empty());
    cr_assert_eq(recorded.lifted.size(), recorded.adopted.size());
}

namespace {

// A daemon's set and follower, and the store that they follow.
struct FollowedSet {
    boost::asio::io_context& context;
    std::function<Core::Task<std::optional<WatchReply>>(WatchRequest, Core::Reason&)> watchAtPeer;
    std::set<std::string> reported;
    EvacuationSet set;
    StoreFollower follower;

    FollowedSet(boost::asio::io_context& context, Platform::ObjectStore store, FollowerSettings settings)
        : context(context)
        , set(prefix, makeSetHooks())
        , follower(context.get_executor(), std::move(store), prefix, settings, makeFollowerHooks())
    {
        Core::spawn(context.get_executor(), "follow", follower.run());
    }

    EvacuationHooks makeSetHooks()
    {
        EvacuationHooks hooks;
        hooks.adopted = [this](const std::string& name) { cr_assert(reported.insert(name).second); };
        hooks.lifted = [this](const std::string& name) { cr_assert_eq(reported.erase(name), 1); };
        return hooks;
    }

    FollowerHooks makeFollowerHooks()
    {
        FollowerHooks hooks;
        hooks.listed = [this](const std::vector<Platform::Object>& objects) { set.replaceAll(objects); };
        hooks.changed = [this](const Platform::Change& change) { set.adopt(change); };
        hooks.lost = [](const Core::Reason&) {};
        hooks.regained = [] {};
        hooks.watchAtPeer = [this](WatchRequest request, Core::Reason& reason) -> Core::Task<std::optional<WatchReply>> {
            if (watchAtPeer)
                co_return co_await watchAtPeer(std::move(request), reason);
            co_return std::nullopt;
        };
        return hooks;
    }
};

Core::Task<bool> sleepFor(milliseconds time)
{
    co_await Core::sleepUntil(Core::Deadline::after(time));
    co_return true;
}

}

// Guards against a set that differs from the store after any sequence of writes and removals, gaps of the watch in which the store drops
// its history, outages, restorations from an older copy and restarts of the process; and against lifting an evacuation in an outage.
Test(EvacuationSet, generatedSequences)
{
    static const std::vector<std::string> zones { "zone-a", "zone-b", "zone-c" };
    static constexpr FollowerSettings settings { 10, 500, 1, 0, 20, 2'000 };
    for (unsigned seed = 1; seed <= 12; ++seed) {
        std::mt19937_64 random(seed);
        boost::asio::io_context context;
        Platform::InMemoryObjectStore store(context.get_executor(), { 3, 1'000'000 });
        // Ended followers stay until the context has ended.
        std::vector<std::unique_ptr<FollowedSet>> processes;
        processes.push_back(std::make_unique<FollowedSet>(context, store.hooks(), settings));
        Platform::Listing copy = store.table().list("");
        auto expected = [&store] {
            std::set<std::string> names;
            for (const Platform::Object& object : store.table().list(prefix).objects)
                names.insert(object.name.substr(prefix.size()));
            return names;
        };
        auto toggle = [&store, &random] {
            std::string name = prefix + zones[random() % zones.size()];
            Core::Reason reason;
            std::optional<Platform::Object> object = store.table().get(name, reason);
            if (object && random() % 3 > 0)
                cr_assert(store.table().remove(name, object->version, reason));
            else
                cr_assert(store.table().put(name, random() % 2 ? "{}" : "[", object ? object->version : 0, reason));
        };
        for (int step = 0; step < 40; ++step) {
            switch (random() % 6) {
            case 0: {
                TestSupport::runUntil(context, [&] { return processes.back()->set.failureDomains() == expected(); });
                std::set<std::string> known = expected();
                store.setOutage(true);
                for (size_t changes = random() % 6; changes > 0; --changes)
                    toggle();
                TestSupport::runTask(context, sleepFor(milliseconds(5)));
                cr_assert_eq(processes.back()->set.failureDomains(), known, "seed %u step %d", seed, step);
                store.setOutage(false);
                break;
            }
            case 1:
                processes.back()->follower.stop();
                processes.push_back(std::make_unique<FollowedSet>(context, store.hooks(), settings));
                break;
            case 2:
                copy = store.table().list("");
                break;
            case 3:
                if (random() % 3 == 0)
                    store.table().restore(copy);
                break;
            default:
                toggle();
                // Set and removed again before the watch reports it, or after.
                if (random() % 2 == 0)
                    toggle();
            }
            if (random() % 2 == 0)
                TestSupport::runUntil(context, [&] { return processes.back()->follower.hasListed() && processes.back()->set.failureDomains() == expected(); });
        }
        TestSupport::runUntil(context, [&] { return processes.back()->set.failureDomains() == expected(); });
        cr_assert_eq(processes.back()->reported, processes.back()->set.failureDomains(), "seed %u", seed);
        processes.back()->follower.stop();
        // The last watch ends within its time.
        TestSupport::runTask(context, sleepFor(milliseconds(50)));
    }
}

// Time allowed for the answer of a watch after its wait, as in the adapter and between daemons.
static constexpr milliseconds answerMargin(350);

// Runs until the evacuation that was written at the given time is known, and checks the limit.
static void expectAdoptedInTime(FollowedSet& followed, SteadyClock::time_point writtenAt)
{
    TestSupport::runUntil(followed.context, [&followed] { return followed.set.isEvacuated("zone-a"); });
    cr_assert_lt(SteadyClock::now() - writtenAt, limit);
    followed.follower.stop();
}

// Guards against exceeding the limit if the watch's connection, and all up to the one on which the list is read again, went silent.
Test(EvacuationSet, silentConnectionsToTheStoreDoNotExceedTheLimit)
{
    boost::asio::io_context context;
    Platform::InMemoryObjectStore memory(context.get_executor());
    Platform::ObjectStore store = memory.hooks();
    int silentWatches = 0;
    int silentLists = 0;
    store.watch = [&silentWatches, &silentLists, watch = store.watch](std::string name, Platform::Version since, Core::Deadline deadline, Core::Reason& reason) -> Core::Task<std::optional<Platform::Changes>> {
        if (silentLists > 0)
            co_return co_await watch(std::move(name), since, deadline, reason);
        ++silentWatches;
        co_await Core::sleepUntil(Core::Deadline(deadline.at() + answerMargin));
        reason = { Core::FailureKind::TimedOut, "watch", "store", "silent" };
        co_return std::nullopt;
    };
    store.list = [&silentWatches, &silentLists, list = store.list](std::string name, Core::Deadline deadline, Core::Reason& reason) -> Core::Task<std::optional<Platform::Listing>> {
        if (silentWatches == 0 || silentLists > 0)
            co_return co_await list(std::move(name), deadline, reason);
        ++silentLists;
        co_await Core::sleepUntil(deadline);
        reason = { Core::FailureKind::TimedOut, "list", "store", "silent" };
        co_return std::nullopt;
    };
    FollowedSet followed(context, store, EvacuationSet::followerSettings(limit));
    TestSupport::runUntil(context, [&silentWatches] { return silentWatches == 1; });
    Core::Reason reason;
    cr_assert(memory.table().put(prefix + "zone-a", "{}", 0, reason));
    expectAdoptedInTime(followed, SteadyClock::now());
    // A watch or a listing after the silent one found the evacuation.
    cr_assert_eq(silentLists, 1);
}

// Guards against exceeding the limit if the daemon that the store is watched through has died or hangs.
Test(EvacuationSet, silentWatcherDoesNotExceedTheLimit)
{
    boost::asio::io_context context;
    Platform::InMemoryObjectStore memory(context.get_executor());
    FollowedSet followed(context, memory.hooks(), EvacuationSet::followerSettings(limit));
    bool isWatching = false;
    followed.watchAtPeer = [&isWatching](WatchRequest request, Core::Reason& reason) -> Core::Task<std::optional<WatchReply>> {
        isWatching = true;
        co_await Core::sleepUntil(Core::Deadline::after(request.wait + answerMargin));
        reason = { Core::FailureKind::TimedOut, "watch", "peer", "silent" };
        co_return std::nullopt;
    };
    TestSupport::runUntil(context, [&isWatching] { return isWatching; });
    Core::Reason reason;
    cr_assert(memory.table().put(prefix + "zone-a", "{}", 0, reason));
    expectAdoptedInTime(followed, SteadyClock::now());
}

// Guards against more store calls than one watch per watch time.
Test(EvacuationSet, storeIsCalledOncePerWatch)
{
    boost::asio::io_context context;
    Platform::InMemoryObjectStore memory(context.get_executor());
    FollowedSet followed(context, memory.hooks(), EvacuationSet::followerSettings(limit));
    TestSupport::runTask(context, sleepFor(milliseconds(3'000)));
    // A list, a watch that has ended and one in progress.
    cr_assert_leq(memory.reads(), 3);
    followed.follower.stop();
}

static Endpoint makeEndpoint(const std::string& id, const std::string& failureDomain)
{
    Endpoint endpoint;
    endpoint.id = id;
    endpoint.service = "service";
    endpoint.failureDomain = failureDomain;
    return endpoint;
}

// Guards against choosing an evacuated endpoint, with and without affinity, against waiting for one, and against avoiding it once the
// evacuation is lifted.
Test(EvacuationSet, evacuatedEndpointsAreNotSelected)
{
    EndpointDirectory directory({});
    for (const char* id : { "a1", "a2", "b1", "c1" })
        directory.put(makeEndpoint(id, std::string("zone-") + id[0]));
    EndpointSelector selector(directory, "zone-a");
    RecordedSet recorded;
    selector.setEvacuations(recorded.set);
    SteadyClock::time_point now = SteadyClock::now();
    auto chosenDomains = [&selector, now] {
        std::set<std::string> domains;
        for (uint64_t affinity = 0; affinity < 200; ++affinity) {
            if (const Endpoint* endpoint = selector.choose({ "service", true, affinity / 2, {} }, now))
                domains.insert(endpoint->failureDomain);
        }
        return domains;
    };
    const std::set<std::string> all { "zone-a", "zone-b", "zone-c" };
    const SelectionQuery query { "service", false, 0, {} };
    cr_assert_eq(chosenDomains(), all);
    recorded.set.adopt(change("zone-a"));
    cr_assert_eq(chosenDomains(), (std::set<std::string> { "zone-b", "zone-c" }));
    cr_assert_eq(selector.evacuatedEndpoints("service"), 2);
    recorded.set.adopt(change("zone-b"));
    cr_assert_eq(chosenDomains(), std::set<std::string> { "zone-c" });
    cr_assert_not(selector.takesRequests(*directory.find("a1"), now));
    cr_assert(selector.isEvacuated(*directory.find("b1")));
    cr_assert(selector.takesRequests(*directory.find("c1"), now));
    // The only endpoint left pauses.
    selector.recordPause(*directory.find("c1"), now + milliseconds(300), now);
    cr_assert_eq(selector.takesRequestsAt("service", now), now + milliseconds(300));
    cr_assert_not(selector.hasHealthy(query, now));
    cr_assert_not(selector.nextPermitAt(query, now));
    recorded.set.adopt(change("zone-c"));
    cr_assert(chosenDomains().empty());
    cr_assert_not(selector.takesRequestsAt("service", now));
    for (const std::string& failureDomain : all)
        recorded.set.adopt(change(failureDomain, true));
    now += milliseconds(300);
    cr_assert(selector.hasHealthy(query, now));
    cr_assert(selector.choose(query, now));
}
