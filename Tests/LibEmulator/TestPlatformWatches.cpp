#include "PlatformFixture.h"
#include <random>

namespace {

using Events = std::vector<Platform::Change>;

struct Follower {
    std::string prefix;
    std::shared_ptr<Events> received;
    std::shared_ptr<std::optional<bool>> result;
};

}

static constexpr Platform::Version randomWrites = 300;
// Written last, so that the last change of every follower is known.
static constexpr const char* lastNames[] = { "a/3-end", "b/end", "quiet/end" };

// Follows a prefix by consecutive watches, each starting at the revision of the previous one, up to a given revision.
static Core::Task<bool> follow(Platform::ObjectStore store, std::string prefix, Platform::Version end, std::shared_ptr<Events> received)
{
    Platform::Version since = 0;
    while (since < end) {
        Core::Reason reason;
        std::optional<Platform::Changes> changes = co_await store.watch(prefix, since, Testing::soon(), reason);
        if (!changes)
            co_return false;
        received->insert(received->end(), changes->changes.begin(), changes->changes.end());
        since = changes->revision;
    }
    co_return true;
}

// Writes or removes an object. A lost reply counts as success.
static Core::Task<bool> write(Platform::ObjectStore store, std::string name, std::string value, bool isRemoval, Platform::Version expected)
{
    Core::Reason reason;
    bool isWritten = isRemoval ? co_await store.remove(name, expected, Testing::soon(), reason)
                               : (co_await store.put(name, value, expected, Testing::soon(), reason)).has_value();
    co_return isWritten || reason.kind == Core::FailureKind::OutcomeUnknown;
}

// Creates, changes and removes objects under two prefixes, then writes lastNames.
static Core::Task<bool> writeAll(Platform::ObjectStore store, uint64_t seed, std::shared_ptr<Events> written)
{
    std::mt19937_64 generator(seed);
    std::map<std::string, Platform::Version> versions;
    for (Platform::Version revision = 1; revision <= randomWrites; ++revision) {
        std::string name = (generator() % 2 ? "a/" : "b/") + std::to_string(generator() % 10);
        Platform::Version expected = versions[name];
        bool isRemoval = expected != 0 && generator() % 4 == 0;
        std::string value = isRemoval ? "" : std::to_string(generator());
        if (!co_await write(store, name, value, isRemoval, expected))
            co_return false;
        versions[name] = isRemoval ? 0 : revision;
        written->push_back({ { name, revision, value }, isRemoval });
    }
    for (const char* name : lastNames) {
        if (!co_await write(store, name, "end", false, 0))
            co_return false;
        written->push_back({ { name, written->size() + 1, "end" }, false });
    }
    co_return true;
}

// Guards against watches that lose, repeat or reorder changes during concurrent writes with lost replies.
Test(PlatformWatches, followersReceiveEveryChangeOnceInOrder)
{
    for (uint64_t seed = 1; seed <= 3; ++seed) {
        PlatformFixture fixture;
        fixture.setFaults(R"({"lose_reply_probability": 0.2, "seed": )" + std::to_string(seed) + "}");
        std::vector<Follower> followers;
        const std::pair<const char*, Platform::Version> ends[] = { { "", 303 }, { "a/", 301 }, { "b/", 302 }, { "a/3", 301 }, { "quiet/", 303 } };
        for (const std::pair<const char*, Platform::Version>& end : ends) {
            std::shared_ptr<Events> received = std::make_shared<Events>();
            followers.push_back({ end.first, received, Testing::start(fixture.context, follow(fixture.store, end.first, end.second, received)) });
        }
        std::shared_ptr<Events> written = std::make_shared<Events>();
        cr_assert(Testing::run(fixture.context, writeAll(fixture.store, seed, written)));
        for (const Follower& follower : followers) {
            Testing::runUntil(fixture.context, [&] { return follower.result->has_value(); });
            cr_assert(**follower.result);
            Events expected;
            for (const Platform::Change& change : *written) {
                if (change.object.name.starts_with(follower.prefix))
                    expected.push_back(change);
            }
            cr_assert(*follower.received == expected, "seed %lu, prefix '%s'", seed, follower.prefix.c_str());
        }
        cr_assert_gt(fixture.emulator.counters().lostReplies, 0u);
    }
}
