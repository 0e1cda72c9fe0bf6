#include "PlatformFixture.h"
#include <map>
#include <random>

namespace {

enum class Outcome {
    Written,
    NoEffect,
    Unknown,
};

struct Attempt {
    Outcome outcome;
    Platform::Version version;
};

// The reported outcome of each value; every value is written at most once.
using Attempts = std::map<std::string, Attempt>;

constexpr int writers = 6;
constexpr int faultRounds = 10;
// Low enough that the emulator's history covers all writes.
constexpr int maxWritesPerWriter = 1500;

}

// Writes unique values by read-modify-write with short deadlines and records the reported outcomes.
static Core::Task<bool> writeValues(Platform::ObjectStore store, int writer, std::shared_ptr<Attempts> attempts, std::shared_ptr<bool> isDone)
{
    std::mt19937_64 generator(static_cast<uint64_t>(writer));
    for (int number = 0; number < maxWritesPerWriter && !*isDone; ++number) {
        std::string name = "a/" + std::to_string(generator() % 3);
        Core::Reason reason;
        std::optional<Platform::Object> current = co_await store.get(name, Testing::soon(), reason);
        co_await Core::sleepUntil(Core::Deadline::after(std::chrono::milliseconds(1)));
        std::string value = std::to_string(writer) + "-" + std::to_string(number);
        Core::Deadline deadline = Core::Deadline::after(std::chrono::milliseconds(1 + generator() % 60));
        std::optional<Platform::Version> version
            = co_await store.put(name, value, current ? current->version : 0, deadline, reason);
        Outcome failure = reason.kind == Core::FailureKind::OutcomeUnknown ? Outcome::Unknown : Outcome::NoEffect;
        (*attempts)[value] = { version ? Outcome::Written : failure, version.value_or(0) };
    }
    co_return true;
}

// Sets and clears each fault in turn, then stops the writers.
static Core::Task<bool> causeFaults(PlatformFixture& fixture, std::shared_ptr<bool> isDone)
{
    static const char* const faults[] = { R"({"lose_reply_probability": 0.5})", R"({"outage_ms": 20})", R"({"delay_ms": 15})",
        R"({"blocked_clients": ["writer-1", "writer-2", "writer-3"]})" };
    static const char* const noFaults = R"({"lose_reply_probability": 0, "outage_ms": 0, "delay_ms": 0, "blocked_clients": []})";
    for (int step = 0; step < 4 * faultRounds; ++step) {
        for (const char* body : { faults[step % 4], noFaults }) {
            Core::Reason reason;
            HTTP::Request request { "POST", "/control/faults", {}, body };
            if (!co_await fixture.client->roundTrip(fixture.address, std::move(request), Testing::soon(), reason))
                co_return false;
            co_await Core::sleepUntil(Core::Deadline::after(std::chrono::milliseconds(15)));
        }
    }
    *isDone = true;
    co_return true;
}

// Guards against wrongly reported write outcomes: a successful write must be in the history with its version, and a write
// that failed with a kind other than OutcomeUnknown must not be in the history.
Test(PlatformOutcomes, failureKindsAreCorrectUnderFaults)
{
    PlatformFixture fixture;
    std::shared_ptr<Attempts> attempts = std::make_shared<Attempts>();
    std::shared_ptr<bool> isDone = std::make_shared<bool>(false);
    std::shared_ptr<std::optional<bool>> faults = Testing::start(fixture.context, causeFaults(fixture, isDone));
    std::vector<std::shared_ptr<std::optional<bool>>> tasks;
    for (int writer = 0; writer < writers; ++writer)
        tasks.push_back(Testing::start(fixture.context, writeValues(fixture.storeOf("writer-" + std::to_string(writer)), writer, attempts, isDone)));
    for (const std::shared_ptr<std::optional<bool>>& task : tasks)
        Testing::runUntil(fixture.context, [&] { return task->has_value(); });
    Testing::runUntil(fixture.context, [&] { return faults->has_value(); });
    cr_assert(**faults);
    std::optional<Platform::Changes> history = fixture.watch("", 0);
    cr_assert(history, "%s", fixture.reason.text().c_str());

    std::map<std::string, Platform::Version> written;
    for (const Platform::Change& change : history->changes)
        cr_assert(written.emplace(change.object.value, change.object.version).second);
    std::map<Outcome, int> counts;
    int unknownButWritten = 0;
    for (const std::pair<const std::string, Attempt>& attempt : *attempts) {
        ++counts[attempt.second.outcome];
        bool isWritten = written.contains(attempt.first);
        if (attempt.second.outcome == Outcome::Written)
            cr_assert_eq(written[attempt.first], attempt.second.version, "%s", attempt.first.c_str());
        if (attempt.second.outcome == Outcome::NoEffect)
            cr_assert_not(isWritten, "%s was reported to have no effect", attempt.first.c_str());
        unknownButWritten += attempt.second.outcome == Outcome::Unknown && isWritten;
    }
    // The test is only meaningful if each of these outcomes occurred.
    cr_assert_gt(counts[Outcome::Written], 0);
    cr_assert_gt(counts[Outcome::NoEffect], 0);
    cr_assert_gt(unknownButWritten, 0);
    cr_assert_lt(unknownButWritten, counts[Outcome::Unknown]);
}
