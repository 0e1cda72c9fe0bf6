#include "LibPlatform/InMemoryObjectStore.h"
#include "LibRelay/StoreFollower.h"
#include "RunTask.h"

using namespace Relay;

struct FollowerFixture {
    boost::asio::io_context context;
    Platform::InMemoryObjectStore store { context.get_executor(), { 2, 1'000'000 } };
    std::map<std::string, std::string> seen;
    int listings { 0 };
    int lost { 0 };
    int regained { 0 };
    int restored { 0 };
    std::function<Core::Task<std::optional<WatchReply>>(WatchRequest, Core::Reason&)> watchAtPeer;
    StoreFollower follower { context.get_executor(), store.hooks(), "config/", { 20, 500, 1, 0, 20, 2'000 }, makeHooks() };

    FollowerHooks makeHooks()
    {
        FollowerHooks hooks;
        hooks.listed = [this](const std::vector<Platform::Object>& objects) {
            ++listings;
            for (const Platform::Object& object : objects)
                seen[object.name] = object.value;
        };
        hooks.changed = [this](const Platform::Change& change) {
            if (change.isDeleted)
                seen.erase(change.object.name);
            else
                seen[change.object.name] = change.object.value;
        };
        hooks.watchAtPeer = [this](WatchRequest request, Core::Reason& reason) -> Core::Task<std::optional<WatchReply>> {
            if (!watchAtPeer) {
                reason = { Core::FailureKind::Unavailable, "watch", "peer", "none" };
                co_return std::nullopt;
            }
            co_return co_await watchAtPeer(std::move(request), reason);
        };
        hooks.lost = [this](const Core::Reason&) { ++lost; };
        hooks.regained = [this] { ++regained; };
        hooks.restored = [this] { ++restored; };
        return hooks;
    }

    void put(const std::string& name, const std::string& value)
    {
        Core::Reason reason;
        std::optional<Platform::Object> before = store.table().get(name, reason);
        cr_assert(store.table().put(name, value, before ? before->version : 0, reason), "%s", reason.text().c_str());
    }

    void runUntilSeen(const std::string& name, const std::string& value)
    {
        TestSupport::runUntil(context, [&] { return seen.contains(name) && seen[name] == value; });
    }
};

// Guards against missing changes between the listing and the watch.
Test(StoreFollower, listsAndWatches)
{
    FollowerFixture fixture;
    fixture.put("config/main", "1");
    Core::spawn(fixture.context.get_executor(), "follow", fixture.follower.run());
    fixture.runUntilSeen("config/main", "1");
    fixture.put("config/main", "2");
    fixture.runUntilSeen("config/main", "2");
    fixture.follower.stop();
}

// Guards against missing changes whose history the store has dropped.
Test(StoreFollower, droppedHistoryIsListedAgain)
{
    FollowerFixture fixture;
    Core::spawn(fixture.context.get_executor(), "follow", fixture.follower.run());
    TestSupport::runUntil(fixture.context, [&fixture] { return fixture.follower.hasListed(); });
    fixture.store.setOutage(true);
    TestSupport::runUntil(fixture.context, [&fixture] { return fixture.lost == 1; });
    for (int i = 0; i < 10; ++i)
        fixture.put("config/other-" + std::to_string(i), "x");
    fixture.put("config/main", "9");
    fixture.store.setOutage(false);
    fixture.runUntilSeen("config/main", "9");
    cr_assert_eq(fixture.regained, 1);
    cr_assert_not(fixture.follower.isLost());
    fixture.follower.stop();
}

// Guards against listings of all objects by every daemon after an outage, which fill the links of small hosts.
Test(StoreFollower, copyIsContinuedAfterALoss)
{
    FollowerFixture fixture;
    fixture.put("config/main", "1");
    Core::spawn(fixture.context.get_executor(), "follow", fixture.follower.run());
    fixture.runUntilSeen("config/main", "1");
    fixture.store.setOutage(true);
    TestSupport::runUntil(fixture.context, [&fixture] { return fixture.lost == 1; });
    fixture.put("config/main", "2");
    fixture.store.setOutage(false);
    fixture.runUntilSeen("config/main", "2");
    cr_assert_eq(fixture.regained, 1);
    cr_assert_eq(fixture.listings, 1);
    fixture.follower.stop();
}

// Guards against a follower that stays lost while the store is slower than the answer to a watch may be.
Test(StoreFollower, slowStoreIsListedAfterALoss)
{
    FollowerFixture fixture;
    fixture.put("config/main", "1");
    Core::spawn(fixture.context.get_executor(), "follow", fixture.follower.run());
    fixture.runUntilSeen("config/main", "1");
    fixture.store.setOutage(true);
    TestSupport::runUntil(fixture.context, [&fixture] { return fixture.lost == 1; });
    fixture.put("config/main", "2");
    // A watch must be answered within 20 ms here, a listing within 500 ms.
    fixture.store.setDelay(std::chrono::milliseconds(100));
    fixture.store.setOutage(false);
    fixture.runUntilSeen("config/main", "2");
    cr_assert_eq(fixture.listings, 2);
    fixture.follower.stop();
}

// Two daemons, one of which watches the store through the other.
struct SharingFixture : FollowerFixture {
    FollowerFixture watcher;
    int failures { 0 };

    SharingFixture()
    {
        Core::spawn(watcher.context.get_executor(), "follow", watcher.follower.run());
        TestSupport::runUntil(watcher.context, [this] { return watcher.follower.hasListed(); });
        watchAtPeer = [this](WatchRequest request, Core::Reason& reason) -> Core::Task<std::optional<WatchReply>> {
            // Encode and decode the messages as between processes.
            std::optional<WatchRequest> received = decodeWatchRequest(encodeWatchRequest(request), reason);
            co_await Core::sleepUntil(Core::Deadline::after(std::chrono::milliseconds(1)));
            std::optional<WatchReply> reply = TestSupport::runTask(watcher.context, watcher.follower.serve(std::move(*received), reason));
            if (!reply) {
                ++failures;
                co_return std::nullopt;
            }
            co_return decodeWatchReply(encodeWatchReply(*reply), reason);
        };
        Core::spawn(context.get_executor(), "follow", follower.run());
        TestSupport::runUntil(context, [this] { return follower.hasListed(); });
    }
    ~SharingFixture()
    {
        follower.stop();
        watcher.follower.stop();
    }
    SharingFixture(const SharingFixture&) = delete;
    SharingFixture& operator=(const SharingFixture&) = delete;

    // Both stores represent the same one, so they get the same writes in the same order.
    void putBoth(const std::string& name, const std::string& value)
    {
        put(name, value);
        watcher.put(name, value);
    }
};

// Guards against every daemon of a large fleet watching the store directly.
Test(StoreFollower, watchesThroughAnotherDaemon)
{
    SharingFixture fixture;
    size_t reads = fixture.store.reads();
    fixture.putBoth("config/main", "2");
    fixture.runUntilSeen("config/main", "2");
    Core::SteadyClock::time_point confirmedAt = fixture.follower.confirmedAt();
    TestSupport::runUntil(fixture.context, [&] { return fixture.follower.confirmedAt() > confirmedAt; });
    cr_assert_eq(fixture.store.reads(), reads);
    cr_assert_leq(fixture.follower.confirmedAt(), Core::SteadyClock::now());
}

// Guards against a daemon continuing to watch through a watcher that has lost the store.
Test(StoreFollower, watchesTheStoreWhenTheWatcherHasLostIt)
{
    SharingFixture fixture;
    fixture.watcher.store.setOutage(true);
    TestSupport::runUntil(fixture.watcher.context, [&fixture] { return fixture.watcher.follower.isLost(); });
    fixture.put("config/main", "3");
    fixture.runUntilSeen("config/main", "3");
    cr_assert_gt(fixture.failures, 0);
    cr_assert_not(fixture.follower.isLost());
}

// Guards against two daemons watching through each other, neither of which would receive changes.
Test(StoreFollower, refusesToServeWhileWatchingThroughAPeer)
{
    SharingFixture fixture;
    fixture.putBoth("config/main", "2");
    fixture.runUntilSeen("config/main", "2");
    Core::Reason reason;
    cr_assert_not(TestSupport::runTask(fixture.context, fixture.follower.serve({ "config/", 0, std::chrono::milliseconds(1) }, reason)));
    cr_assert_eq(reason.kind, Core::FailureKind::Unavailable);
}

// Guards against malformed peer messages crashing the process.
Test(SharedWatch, malformedMessagesAreRefused)
{
    WatchReply reply { { 7, { { "k/a", 5, "value" } }, { "k/b" } }, std::chrono::milliseconds(3), std::chrono::milliseconds(4) };
    std::string bytes = encodeWatchReply(reply);
    Core::Reason reason;
    cr_assert(decodeWatchReply(bytes, reason) == reply);
    for (size_t length = 0; length < bytes.size(); ++length) {
        cr_assert_not(decodeWatchReply(bytes.substr(0, length), reason));
        cr_assert_eq(reason.kind, Core::FailureKind::Invalid);
    }
    cr_assert_not(decodeWatchRequest("\xa0", reason));
    cr_assert_eq(reason.kind, Core::FailureKind::Invalid);
}

// Load pattern: all hosts start at the same time and read of each other a moment later, while the endpoints register.
// Guards against each of them watching the store in that moment: every registration then answers the watches of the whole fleet.
Test(StoreFollower, firstWatchWaitsUntilPeersAreKnown)
{
    boost::asio::io_context context;
    Platform::InMemoryObjectStore memory(context.get_executor());
    Platform::ObjectStore store = memory.hooks();
    int storeWatches = 0;
    int peerWatches = 0;
    std::function<Core::Task<std::optional<Platform::Changes>>(std::string, Platform::Version, Core::Deadline, Core::Reason&)> watch = store.watch;
    store.watch = [&storeWatches, watch](std::string prefix, Platform::Version since, Core::Deadline deadline, Core::Reason& reason) {
        ++storeWatches;
        return watch(std::move(prefix), since, deadline, reason);
    };
    Core::SteadyClock::time_point peersKnownAt = Core::SteadyClock::now() + std::chrono::milliseconds(60);
    FollowerHooks hooks;
    hooks.listed = [](const std::vector<Platform::Object>&) {};
    hooks.changed = [](const Platform::Change&) {};
    hooks.lost = [](const Core::Reason&) {};
    hooks.regained = [] {};
    hooks.watchAtPeer = [&](WatchRequest request, Core::Reason& reason) -> Core::Task<std::optional<WatchReply>> {
        if (Core::SteadyClock::now() < peersKnownAt) {
            reason = { Core::FailureKind::Unavailable, "watch", "peer", "none is known" };
            co_return std::nullopt;
        }
        ++peerWatches;
        co_await Core::sleepUntil(Core::Deadline::after(std::chrono::milliseconds(5)));
        ObjectChanges changes;
        changes.revision = request.since;
        co_return WatchReply { changes, std::chrono::milliseconds(0), std::chrono::milliseconds(5) };
    };
    FollowerSettings settings;
    settings.firstWatchDelayMs = 100;
    StoreFollower follower(context.get_executor(), store, "config/", settings, hooks);
    Core::spawn(context.get_executor(), "follow", follower.run());
    TestSupport::runUntil(context, [&peerWatches] { return peerWatches > 3; });
    cr_assert_eq(storeWatches, 0);
    follower.stop();
}

// Guards against a restarted process using a key that was withdrawn or an endpoint that has left, because a peer with an old copy
// answers before the store: the first state comes from the store, and older answers of peers change nothing.
Test(StoreFollower, restartedProcessDoesNotAdoptTheCopyOfALaggingPeer)
{
    FollowerFixture fixture;
    fixture.put("config/left", "1");
    Core::Reason reason;
    Platform::Version old = fixture.store.table().get("config/left", reason)->version;
    fixture.put("config/main", "2");
    TestSupport::runTask(fixture.context, fixture.store.hooks().remove("config/left", old, Core::Deadline::after(std::chrono::seconds(1)), reason));
    int peerAnswers = 0;
    fixture.watchAtPeer = [&peerAnswers, old](WatchRequest, Core::Reason&) -> Core::Task<std::optional<WatchReply>> {
        ++peerAnswers;
        co_await Core::sleepUntil(Core::Deadline::after(std::chrono::milliseconds(2)));
        ObjectChanges changes;
        changes.revision = old;
        changes.changed.push_back({ "config/left", old, "1" });
        co_return WatchReply { changes, std::chrono::milliseconds(0), std::chrono::milliseconds(2) };
    };
    Core::spawn(fixture.context.get_executor(), "follow", fixture.follower.run());
    TestSupport::runUntil(fixture.context, [&fixture, &peerAnswers] {
        cr_assert_not(fixture.seen.contains("config/left"));
        return peerAnswers > 5;
    });
    cr_assert_eq(fixture.seen["config/main"], "2");
    fixture.follower.stop();
}

// Guards against ignoring a store that was restored from an older copy: its revisions are below those seen before, and a change in it
// may have a revision that was seen before.
Test(StoreFollower, restoredStoreIsListedAgain)
{
    FollowerFixture fixture;
    fixture.put("config/main", "1");
    Platform::Listing copy = fixture.store.table().list("");
    Core::spawn(fixture.context.get_executor(), "follow", fixture.follower.run());
    for (const char* value : { "2", "3", "4" }) {
        fixture.put("config/main", value);
        fixture.runUntilSeen("config/main", value);
    }
    fixture.put("config/lost", "x");
    fixture.runUntilSeen("config/lost", "x");
    fixture.store.table().restore(copy);
    fixture.runUntilSeen("config/main", "1");
    cr_assert_eq(fixture.restored, 1);
    fixture.put("config/main", "5");
    fixture.runUntilSeen("config/main", "5");
    // A daemon at a revision from before the restoration may know objects that this one has never seen.
    Core::Reason reason;
    cr_assert_not(TestSupport::runTask(fixture.context, fixture.follower.serve({ "config/", copy.revision, std::chrono::milliseconds(1) }, reason)));
    fixture.follower.stop();
}
