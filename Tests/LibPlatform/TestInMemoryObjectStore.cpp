#include "LibPlatform/InMemoryObjectStore.h"
#include "RunTask.h"

using Core::FailureKind;
using Platform::Changes;
using Platform::Version;

namespace {

struct Fixture {
    boost::asio::io_context context;
    Platform::InMemoryObjectStore memory { context.get_executor() };
    Platform::ObjectStore store { memory.hooks() };
    Core::Reason reason;

    std::optional<Version> put(const std::string& name, const std::string& value, Version expected = 0, Core::Deadline deadline = Testing::soon())
    {
        return Testing::run(context, store.put(name, value, expected, deadline, reason));
    }

    std::optional<Platform::Object> get(const std::string& name, Core::Deadline deadline = Testing::soon())
    {
        return Testing::run(context, store.get(name, deadline, reason));
    }

    bool remove(const std::string& name, Version expected)
    {
        return Testing::run(context, store.remove(name, expected, Testing::soon(), reason));
    }
};

}

// Guards against a double whose rules for versions differ from the platform's.
Test(InMemoryObjectStore, writesAreConditional)
{
    Fixture fixture;
    Version first = fixture.put("a", "one").value();
    cr_assert_not(fixture.put("a", "two"));
    cr_assert_eq(fixture.reason.kind, FailureKind::Conflict);
    Version second = fixture.put("a", "three", first).value();
    cr_assert_not(fixture.remove("a", first));
    cr_assert_eq(fixture.reason.kind, FailureKind::Conflict);
    cr_assert(fixture.remove("a", second));
    cr_assert_not(fixture.get("a"));
    cr_assert_eq(fixture.reason.kind, FailureKind::NotFound);
}

// Guards against lost replies that lose the write as well, or lost requests that write.
Test(InMemoryObjectStore, lostRepliesWriteAndLostRequestsDoNot)
{
    Fixture fixture;
    fixture.memory.loseReplies(1);
    cr_assert_not(fixture.put("a", "one"));
    cr_assert_eq(fixture.reason.kind, FailureKind::OutcomeUnknown);
    cr_assert_eq(fixture.get("a")->value, "one");
    fixture.memory.loseRequests(1);
    cr_assert_not(fixture.put("b", "two"));
    cr_assert_eq(fixture.reason.kind, FailureKind::OutcomeUnknown);
    cr_assert_not(fixture.get("b"));
    fixture.memory.failWithConflict(1);
    cr_assert_not(fixture.put("b", "two"));
    cr_assert_eq(fixture.reason.kind, FailureKind::Conflict);
    cr_assert(fixture.put("b", "two"));
    fixture.memory.loseReplies(1);
    cr_assert_not(fixture.remove("b", 2));
    cr_assert_eq(fixture.reason.kind, FailureKind::OutcomeUnknown);
    cr_assert_not(fixture.get("b"));
}

// Guards against rate-limited calls that write, and against a limit that hits only reads or only writes.
Test(InMemoryObjectStore, limitedCallsHaveNoEffect)
{
    Fixture fixture;
    fixture.memory.limitRate(2);
    cr_assert_not(fixture.put("a", "one"));
    cr_assert_eq(fixture.reason.kind, FailureKind::RateLimited);
    cr_assert_not(fixture.get("a"));
    cr_assert_eq(fixture.reason.kind, FailureKind::RateLimited);
    cr_assert_not(fixture.get("a"));
    cr_assert_eq(fixture.reason.kind, FailureKind::NotFound);
    cr_assert(fixture.put("a", "one"));
}

// Guards against calls that get through an outage and against watches that outlast its start.
Test(InMemoryObjectStore, outageFailsCallsAndWaitingWatches)
{
    Fixture fixture;
    std::shared_ptr<std::optional<std::optional<Changes>>> watch
        = Testing::start(fixture.context, fixture.store.watch("", 0, Testing::soon(), fixture.reason));
    Testing::runUntil(fixture.context, [&] { return fixture.memory.table().waitingWatches() == 1; });
    fixture.memory.setOutage(true);
    Testing::runUntil(fixture.context, [&] { return watch->has_value(); });
    cr_assert_not((**watch).has_value());
    cr_assert_eq(fixture.reason.kind, FailureKind::Unavailable);
    cr_assert_not(fixture.put("a", "one"));
    cr_assert_eq(fixture.reason.kind, FailureKind::Unavailable);
    cr_assert_not(fixture.get("a"));
    cr_assert_eq(fixture.reason.kind, FailureKind::Unavailable);
    fixture.memory.setOutage(false);
    cr_assert(fixture.put("a", "one"));
}

// Guards against callers that take a timed-out write for one without effect: here it takes effect afterwards.
Test(InMemoryObjectStore, slowWriteTakesEffectAfterItsDeadline)
{
    Fixture fixture;
    fixture.memory.setDelay(std::chrono::milliseconds(2000));
    cr_assert_not(fixture.put("a", "one", 0, Core::Deadline::after(std::chrono::milliseconds(10))));
    cr_assert_eq(fixture.reason.kind, FailureKind::OutcomeUnknown);
    cr_assert_eq(fixture.memory.table().revision(), 0u);
    cr_assert_not(fixture.get("a", Core::Deadline::after(std::chrono::milliseconds(1))));
    cr_assert_eq(fixture.reason.kind, FailureKind::Unavailable);
    Testing::runUntil(fixture.context, [&] { return fixture.memory.table().revision() == 1; });
}

// Guards against a store whose calls never interleave: two tasks that read before they write must conflict.
Test(InMemoryObjectStore, concurrentWritersInterleave)
{
    Fixture fixture;
    Core::Reason first;
    Core::Reason second;
    std::shared_ptr<std::optional<std::optional<Version>>> one
        = Testing::start(fixture.context, fixture.store.put("a", "one", 0, Testing::soon(), first));
    std::shared_ptr<std::optional<std::optional<Version>>> two
        = Testing::start(fixture.context, fixture.store.put("a", "two", 0, Testing::soon(), second));
    Testing::runUntil(fixture.context, [&] { return one->has_value() && two->has_value(); });
    cr_assert_neq((**one).has_value(), (**two).has_value());
    cr_assert_eq(fixture.memory.writes(), 2u);
}
