#include "PlatformFixture.h"

using Core::FailureKind;
using Platform::Change;
using Platform::Object;

// Guards against corrupted values, names or versions of objects.
Test(PlatformObjects, putThenGetReturnsTheSameBytes)
{
    PlatformFixture fixture;
    std::string value("\0\xff\r\n\r\nGET / HTTP/1.1", 20);
    std::string name = "ledger/a b%+?#/slot-1";
    std::optional<Platform::Version> version = fixture.put(name, value);
    cr_assert(version, "%s", fixture.reason.text().c_str());
    cr_assert(fixture.get(name) == Object({ name, *version, value }));
}

// Guards against lost updates: of two writers that expect the same version, one must fail.
Test(PlatformObjects, secondWriterOfAVersionConflicts)
{
    PlatformFixture fixture;
    Platform::Version first = fixture.put("lease/e1", "one").value();
    cr_assert(fixture.put("lease/e1", "two", first));
    cr_assert_not(fixture.put("lease/e1", "three", first));
    cr_assert_eq(fixture.reason.kind, FailureKind::Conflict);
    cr_assert_not(fixture.put("lease/e1", "four"));
    cr_assert_eq(fixture.reason.kind, FailureKind::Conflict);
    cr_assert_not(fixture.put("lease/absent", "five", first));
    cr_assert_eq(fixture.reason.kind, FailureKind::Conflict);
    cr_assert_eq(fixture.get("lease/e1")->value, "two");
    cr_assert_eq(fixture.emulator.counters().conflicts, 3u);
}

// Guards against reuse of versions after a removal (ABA problem), and against removing a newer version than expected.
Test(PlatformObjects, removalIsConditionalAndVersionsNeverRepeat)
{
    PlatformFixture fixture;
    Platform::Version first = fixture.put("daemon/h1", "one").value();
    Platform::Version second = fixture.put("daemon/h1", "two", first).value();
    cr_assert_not(fixture.remove("daemon/h1", first));
    cr_assert_eq(fixture.reason.kind, FailureKind::Conflict);
    cr_assert(fixture.remove("daemon/h1", second));
    cr_assert_not(fixture.remove("daemon/h1", second));
    cr_assert_eq(fixture.reason.kind, FailureKind::NotFound);
    cr_assert_not(fixture.get("daemon/h1"));
    cr_assert_eq(fixture.reason.kind, FailureKind::NotFound);
    cr_assert_gt(fixture.put("daemon/h1", "three").value(), second);
}

// Guards against missing objects in a list and against objects with another prefix.
Test(PlatformObjects, listReturnsThePrefixInOrder)
{
    PlatformFixture fixture;
    fixture.put("b/2", "x");
    fixture.put("a/1", "y");
    fixture.put("a/2", "z");
    fixture.put("ab", "w");
    std::optional<Platform::Listing> listing = fixture.list("a/");
    cr_assert(listing, "%s", fixture.reason.text().c_str());
    cr_assert(*listing == Platform::Listing({ 4, { { "a/1", 2, "y" }, { "a/2", 3, "z" } } }));
    cr_assert_eq(fixture.list("")->objects.size(), 4u);
    cr_assert(fixture.list("none/")->objects.empty());
}

// Guards against a watch that misses a change or reports it without its value.
Test(PlatformObjects, waitingWatchReturnsTheChange)
{
    PlatformFixture fixture;
    Platform::Version first = fixture.put("a/1", "one").value();
    Core::Reason reason;
    std::shared_ptr<std::optional<std::optional<Platform::Changes>>> watch
        = Testing::start(fixture.context, fixture.store.watch("a/", first, Testing::soon(), reason));
    Testing::runUntil(fixture.context, [&] { return fixture.emulator.counters().waitingWatches == 1; });
    fixture.put("b/1", "other prefix");
    cr_assert_not(watch->has_value());
    fixture.remove("a/1", first);
    Testing::runUntil(fixture.context, [&] { return watch->has_value(); });
    cr_assert((**watch).has_value(), "%s", reason.text().c_str());
    cr_assert(***watch == Platform::Changes({ 3, { { { "a/1", 3, "" }, true } } }));
    cr_assert_eq(fixture.emulator.counters().waitingWatches, 0u);
}
