#include "LibPlatform/InMemoryObjectStore.h"
#include "LibRelay/StoreFollower.h"
#include "RunTask.h"

using namespace Relay;

struct FollowerFixture {
    boost::asio::io_context context;
    Platform::InMemoryObjectStore store { context.get_executor(), { 2, 1'000'000 } };
    std::map<std::string, std::string> seen;
    int lost { 0 };
    int regained { 0 };
    StoreFollower follower { store.hooks(), "config/", { 20, 500, 1 }, makeHooks() };

    FollowerHooks makeHooks()
    {
        FollowerHooks hooks;
        hooks.listed = [this](const std::vector<Platform::Object>& objects) {
            for (const Platform::Object& object : objects)
                seen[object.name] = object.value;
        };
        hooks.changed = [this](const Platform::Change& change) { seen[change.object.name] = change.object.value; };
        hooks.lost = [this](const Core::Reason&) { ++lost; };
        hooks.regained = [this] { ++regained; };
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

// Guards against changes that are missed between the listing and the watch.
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

// Guards against a follower that never hears of changes whose history the store has dropped.
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
