#include "LibPlatform/InMemoryObjectStore.h"
#include "LibPlatform/ObjectCodec.h"
#include "PlatformFixture.h"
#include <random>

using Core::FailureKind;
using Platform::Change;
using Platform::Changes;
using Platform::Listing;
using Platform::Object;
using Platform::Version;

namespace {

static constexpr size_t historyLength = 25;

// A simple reference model of the platform that shares no code with the libraries under test.
struct ReferencePlatform {
    std::map<std::string, Object> objects;
    std::vector<Change> history;
    size_t repliesToLose { 0 };

    Version versionOf(const std::string& name) const { return objects.contains(name) ? objects.at(name).version : 0; }

    // Records an applied write. Returns OutcomeUnknown if its reply is lost.
    std::optional<FailureKind> finishWrite(Change change)
    {
        history.push_back(std::move(change));
        if (repliesToLose == 0)
            return std::nullopt;
        --repliesToLose;
        return FailureKind::OutcomeUnknown;
    }

    std::optional<FailureKind> put(const std::string& name, const std::string& value, Version expected)
    {
        if (versionOf(name) != expected)
            return FailureKind::Conflict;
        objects[name] = { name, history.size() + 1, value };
        return finishWrite({ objects[name], false });
    }

    std::optional<FailureKind> remove(const std::string& name, Version expected)
    {
        if (versionOf(name) == 0)
            return FailureKind::NotFound;
        if (versionOf(name) != expected)
            return FailureKind::Conflict;
        objects.erase(name);
        return finishWrite({ { name, history.size() + 1, "" }, true });
    }

    Listing list(const std::string& prefix) const
    {
        Listing listing { history.size(), {} };
        for (const std::pair<const std::string, Object>& entry : objects) {
            if (entry.first.substr(0, prefix.size()) == prefix)
                listing.objects.push_back(entry.second);
        }
        return listing;
    }

    std::optional<Changes> changesAfter(const std::string& prefix, Version since) const
    {
        if (since > history.size() || since + historyLength < history.size())
            return std::nullopt;
        Changes changes { history.size(), {} };
        for (const Change& change : history) {
            if (change.object.version > since && change.object.name.substr(0, prefix.size()) == prefix)
                changes.changes.push_back(change);
        }
        return changes;
    }
};

// Applies the same random calls to the store and to the reference model and compares each result.
struct Comparison {
    boost::asio::io_context& context;
    Platform::ObjectStore store;
    std::function<void(size_t)> loseReplies;
    // A watch with a short time limit, for cases without changes.
    std::function<std::optional<Changes>(const std::string& prefix, Version since)> shortWatch;
    std::mt19937_64 generator;
    ReferencePlatform reference {};
    Core::Reason reason {};
    std::string step {};

    uint64_t randomBelow(uint64_t bound) { return generator() % bound; }
    std::string randomName() { return std::string(1, static_cast<char>('a' + randomBelow(3))) + "/" + std::to_string(randomBelow(6)); }
    std::string randomPrefix() { return randomName().substr(0, randomBelow(4)); }

    // Returns the current version in three of four cases, otherwise 0, an old version or one that does not exist.
    Version randomExpectation(const std::string& name)
    {
        if (randomBelow(4) > 0)
            return reference.versionOf(name);
        return randomBelow(reference.history.size() + 3);
    }

    void checkFailure(FailureKind expected)
    {
        cr_assert_eq(reason.kind, expected, "%s: %s, expected %s", step.c_str(), reason.text().c_str(), Core::nameOf(expected));
    }

    void comparePut()
    {
        std::string name = randomName();
        std::string value(randomBelow(50), static_cast<char>(randomBelow(256)));
        Version expected = randomExpectation(name);
        step += " put " + name + " at " + std::to_string(expected);
        std::optional<Version> version = Testing::run(context, store.put(name, value, expected, Testing::soon(), reason));
        std::optional<FailureKind> failure = reference.put(name, value, expected);
        cr_assert_eq(version.has_value(), !failure.has_value(), "%s: %s", step.c_str(), reason.text().c_str());
        if (failure)
            checkFailure(*failure);
        else
            cr_assert_eq(*version, reference.versionOf(name), "%s", step.c_str());
    }

    void compareRemove()
    {
        std::string name = randomName();
        Version expected = std::max<Version>(1, randomExpectation(name));
        step += " remove " + name + " at " + std::to_string(expected);
        bool isRemoved = Testing::run(context, store.remove(name, expected, Testing::soon(), reason));
        std::optional<FailureKind> failure = reference.remove(name, expected);
        cr_assert_eq(isRemoved, !failure.has_value(), "%s: %s", step.c_str(), reason.text().c_str());
        if (failure)
            checkFailure(*failure);
    }

    void compareGet()
    {
        std::string name = randomName();
        step += " get " + name;
        std::optional<Object> object = Testing::run(context, store.get(name, Testing::soon(), reason));
        cr_assert_eq(object.has_value(), reference.objects.contains(name), "%s", step.c_str());
        if (object)
            cr_assert(*object == reference.objects.at(name), "%s", step.c_str());
        else
            checkFailure(FailureKind::NotFound);
    }

    void compareList()
    {
        std::string prefix = randomPrefix();
        step += " list " + prefix;
        std::optional<Listing> listing = Testing::run(context, store.list(prefix, Testing::soon(), reason));
        cr_assert(listing, "%s: %s", step.c_str(), reason.text().c_str());
        cr_assert(*listing == reference.list(prefix), "%s", step.c_str());
    }

    void compareWatch()
    {
        std::string prefix = randomPrefix();
        Version since = reference.history.size() + 1 - std::min<uint64_t>(reference.history.size() + 1, randomBelow(historyLength + 5));
        step += " watch " + prefix + " since " + std::to_string(since);
        std::optional<Changes> expected = reference.changesAfter(prefix, since);
        bool mustWait = expected && expected->changes.empty();
        std::optional<Changes> changes = mustWait ? shortWatch(prefix, since)
                                                  : Testing::run(context, store.watch(prefix, since, Testing::soon(), reason));
        cr_assert_eq(changes.has_value(), expected.has_value(), "%s: %s", step.c_str(), reason.text().c_str());
        if (changes)
            cr_assert(*changes == *expected, "%s", step.c_str());
        else
            checkFailure(FailureKind::NotFound);
    }

    void compareOne(size_t number)
    {
        step = "call " + std::to_string(number) + ":";
        uint64_t choice = randomBelow(100);
        if (choice < 40)
            comparePut();
        else if (choice < 55)
            compareRemove();
        else if (choice < 75)
            compareGet();
        else if (choice < 85)
            compareList();
        else if (choice < 95)
            compareWatch();
        else
            loseReplies(reference.repliesToLose = randomBelow(4));
    }
};

}

// Watches with a short server-side hold and a long client-side deadline, so that the watch does not time out on a slow
// machine.
static std::optional<Changes> heldFor10ms(PlatformFixture& fixture, const std::string& prefix, Version since)
{
    std::string target = "/v1/watch?timeout_ms=10&since=" + std::to_string(since) + "&prefix=" + HTTP::encodeComponent(prefix);
    return Platform::decodeChanges(fixture.send({ "GET", target, {}, "" }).body, fixture.reason);
}

// Guards against differences between the emulator and the reference model, with lost replies and a short history. The
// seeds are fixed, and a failure reports the number of the call.
Test(PlatformDifferential, emulatorFollowsTheReferencePlatform)
{
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        PlatformFixture fixture({ .history = { historyLength, 1'000'000 } });
        Comparison comparison { fixture.context, fixture.store,
            [&](size_t count) { fixture.setFaults(R"({"lose_replies": )" + std::to_string(count) + "}"); },
            [&](const std::string& prefix, Version since) { return heldFor10ms(fixture, prefix, since); }, std::mt19937_64(seed) };
        for (size_t number = 1; number <= 600; ++number)
            comparison.compareOne(number);
    }
}

// The in-memory store, which unit tests use in place of the platform, must behave like it.
Test(PlatformDifferential, storeInMemoryFollowsTheReferencePlatform)
{
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        boost::asio::io_context context;
        Platform::InMemoryObjectStore memory(context.get_executor(), { historyLength, 1'000'000 });
        Core::Reason reason;
        Comparison comparison { context, memory.hooks(), [&](size_t count) { memory.loseReplies(count); },
            [&](const std::string& prefix, Version since) {
                Core::Deadline deadline = Core::Deadline::after(std::chrono::milliseconds(10));
                return Testing::run(context, memory.table().watch("", prefix, since, deadline, reason));
            },
            std::mt19937_64(seed) };
        for (size_t number = 1; number <= 600; ++number)
            comparison.compareOne(number);
    }
}
