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

// The platform's rules written down naively, without any code of the packages under test.
struct NaivePlatform {
    std::map<std::string, Object> objects;
    std::vector<Change> history;
    size_t repliesToLose { 0 };

    Version versionOf(const std::string& name) const { return objects.contains(name) ? objects.at(name).version : 0; }

    // The failure of a write that has passed its condition, if its reply is lost.
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

// Makes the same random calls of the store and of the naive platform and compares each result.
struct Comparison {
    boost::asio::io_context& context;
    Platform::ObjectStore store;
    std::function<void(size_t)> loseReplies;
    // A watch without changes that ends after a short time.
    std::function<std::optional<Changes>(const std::string& prefix, Version since)> quietWatch;
    std::mt19937_64 generator;
    NaivePlatform naive {};
    Core::Reason reason {};
    std::string step {};

    uint64_t below(uint64_t bound) { return generator() % bound; }
    std::string randomName() { return std::string(1, static_cast<char>('a' + below(3))) + "/" + std::to_string(below(6)); }
    std::string randomPrefix() { return randomName().substr(0, below(4)); }

    // Mostly the current version, else none, an old one or one that never existed.
    Version randomExpectation(const std::string& name)
    {
        if (below(4) > 0)
            return naive.versionOf(name);
        return below(naive.history.size() + 3);
    }

    void checkFailure(FailureKind expected)
    {
        cr_assert_eq(reason.kind, expected, "%s: %s, expected %s", step.c_str(), reason.text().c_str(), Core::nameOf(expected));
    }

    void comparePut()
    {
        std::string name = randomName();
        std::string value(below(50), static_cast<char>(below(256)));
        Version expected = randomExpectation(name);
        step += " put " + name + " at " + std::to_string(expected);
        std::optional<Version> version = Testing::run(context, store.put(name, value, expected, Testing::soon(), reason));
        std::optional<FailureKind> failure = naive.put(name, value, expected);
        cr_assert_eq(version.has_value(), !failure.has_value(), "%s: %s", step.c_str(), reason.text().c_str());
        if (failure)
            checkFailure(*failure);
        else
            cr_assert_eq(*version, naive.versionOf(name), "%s", step.c_str());
    }

    void compareRemove()
    {
        std::string name = randomName();
        Version expected = std::max<Version>(1, randomExpectation(name));
        step += " remove " + name + " at " + std::to_string(expected);
        bool isRemoved = Testing::run(context, store.remove(name, expected, Testing::soon(), reason));
        std::optional<FailureKind> failure = naive.remove(name, expected);
        cr_assert_eq(isRemoved, !failure.has_value(), "%s: %s", step.c_str(), reason.text().c_str());
        if (failure)
            checkFailure(*failure);
    }

    void compareGet()
    {
        std::string name = randomName();
        step += " get " + name;
        std::optional<Object> object = Testing::run(context, store.get(name, Testing::soon(), reason));
        cr_assert_eq(object.has_value(), naive.objects.contains(name), "%s", step.c_str());
        if (object)
            cr_assert(*object == naive.objects.at(name), "%s", step.c_str());
        else
            checkFailure(FailureKind::NotFound);
    }

    void compareList()
    {
        std::string prefix = randomPrefix();
        step += " list " + prefix;
        std::optional<Listing> listing = Testing::run(context, store.list(prefix, Testing::soon(), reason));
        cr_assert(listing, "%s: %s", step.c_str(), reason.text().c_str());
        cr_assert(*listing == naive.list(prefix), "%s", step.c_str());
    }

    void compareWatch()
    {
        std::string prefix = randomPrefix();
        Version since = naive.history.size() + 1 - std::min<uint64_t>(naive.history.size() + 1, below(historyLength + 5));
        step += " watch " + prefix + " since " + std::to_string(since);
        std::optional<Changes> expected = naive.changesAfter(prefix, since);
        bool mustWait = expected && expected->changes.empty();
        std::optional<Changes> changes = mustWait ? quietWatch(prefix, since)
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
        uint64_t choice = below(100);
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
            loseReplies(naive.repliesToLose = below(4));
    }
};

}

// Watches with a short hold and a long deadline, so that a slow machine cannot make the watch fail.
static std::optional<Changes> heldFor10ms(PlatformFixture& fixture, const std::string& prefix, Version since)
{
    std::string target = "/v1/watch?timeout_ms=10&since=" + std::to_string(since) + "&prefix=" + HTTP::encodeComponent(prefix);
    return Platform::decodeChanges(fixture.send({ "GET", target, {}, "" }).body, fixture.reason);
}

// Guards against any difference between the emulated platform and its rules, for the results of all calls with lost
// replies and a short history. The failing call is named with its number; the seeds are fixed.
Test(PlatformDifferential, emulatorFollowsTheNaivePlatform)
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

// Guards against a double for unit tests that differs from the platform.
Test(PlatformDifferential, storeInMemoryFollowsTheNaivePlatform)
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
