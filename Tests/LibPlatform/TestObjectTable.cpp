#include "LibPlatform/ObjectTable.h"
#include "RunTask.h"

using Core::FailureKind;
using Platform::Changes;
using Platform::ObjectTable;

namespace {

struct Fixture {
    boost::asio::io_context context;
    ObjectTable table;
    Core::Reason reason;

    explicit Fixture(Platform::HistoryLimits limits = {})
        : table(context.get_executor(), limits)
    {
    }
};

}

// Guards against changes that are skipped or reordered when a watch resumes from a revision.
Test(ObjectTable, changesComeInOrderFromAnyRevision)
{
    Fixture fixture;
    for (int i = 0; i < 20; ++i)
        fixture.table.put((i % 2 ? "a/" : "b/") + std::to_string(i), "value", 0, fixture.reason);
    for (Platform::Version since = 0; since <= 20; ++since) {
        Changes changes = fixture.table.changesAfter("a/", since, fixture.reason).value();
        cr_assert_eq(changes.revision, 20u);
        Platform::Version expected = since % 2 ? since + 1 : since + 2;
        for (const Platform::Change& change : changes.changes) {
            cr_assert_eq(change.object.version, expected);
            expected += 2;
        }
        cr_assert_eq(expected, 22u);
    }
}

// Guards against a watcher that believes it has seen all changes although some have been dropped.
Test(ObjectTable, droppedChangesAreReported)
{
    Fixture fixture({ 3, 1000 });
    for (int i = 0; i < 5; ++i)
        fixture.table.put("a/" + std::to_string(i), "value", 0, fixture.reason);
    cr_assert_eq(fixture.table.changesAfter("a/", 2, fixture.reason)->changes.size(), 3u);
    cr_assert_not(fixture.table.changesAfter("a/", 1, fixture.reason));
    cr_assert_eq(fixture.reason.kind, FailureKind::NotFound);
    // A revision from before a restart of the store with less content.
    cr_assert_not(fixture.table.changesAfter("a/", 6, fixture.reason));
    cr_assert_eq(fixture.reason.kind, FailureKind::NotFound);
    cr_assert_not(Testing::run(fixture.context, fixture.table.watch("w", "a/", 1, Testing::soon(), fixture.reason)));
    cr_assert_eq(fixture.reason.kind, FailureKind::NotFound);
}

// Guards against a history of large values that takes unbounded memory.
Test(ObjectTable, historyIsBoundedInBytes)
{
    Fixture fixture({ 100, 1000 });
    for (int i = 0; i < 5; ++i)
        fixture.table.put("a/" + std::to_string(i), std::string(400, 'x'), 0, fixture.reason);
    cr_assert_eq(fixture.table.changesAfter("", 3, fixture.reason)->changes.size(), 2u);
    cr_assert_not(fixture.table.changesAfter("", 2, fixture.reason));
}

// Guards against a waiting watch that loses changes which the history drops before its task goes on.
Test(ObjectTable, waitingWatchOutlivesTheHistory)
{
    Fixture fixture({ 2, 1000 });
    std::shared_ptr<std::optional<std::optional<Changes>>> watch
        = Testing::start(fixture.context, fixture.table.watch("w", "a/", 0, Testing::soon(), fixture.reason));
    Testing::runUntil(fixture.context, [&] { return fixture.table.waitingWatches() == 1; });
    Core::Reason reason;
    for (int i = 0; i < 10; ++i)
        fixture.table.put("a/" + std::to_string(i), "value", 0, reason);
    Testing::runUntil(fixture.context, [&] { return watch->has_value(); });
    cr_assert((**watch).has_value(), "%s", fixture.reason.text().c_str());
    cr_assert_eq((**watch)->changes.size(), 10u);
    cr_assert_eq((**watch)->revision, 10u);
}

// Guards against a watcher of a quiet prefix that never advances and is told that its revision is too old.
Test(ObjectTable, emptyWatchAdvancesTheRevision)
{
    Fixture fixture({ 2, 1000 });
    Core::Deadline deadline = Core::Deadline::after(std::chrono::milliseconds(1000));
    std::shared_ptr<std::optional<std::optional<Changes>>> watch
        = Testing::start(fixture.context, fixture.table.watch("w", "a/", 0, deadline, fixture.reason));
    Testing::runUntil(fixture.context, [&] { return fixture.table.waitingWatches() == 1; });
    Core::Reason reason;
    for (int i = 0; i < 10; ++i)
        fixture.table.put("b/" + std::to_string(i), "value", 0, reason);
    Testing::runUntil(fixture.context, [&] { return watch->has_value(); });
    cr_assert((**watch).has_value());
    cr_assert(***watch == Changes({ 10, {} }));
}

// Guards against values over the limit, and against refusing values at the limit.
Test(ObjectTable, valuesAreLimited)
{
    Fixture fixture;
    cr_assert(fixture.table.put("a", std::string(Platform::maxValueBytes, 'x'), 0, fixture.reason));
    cr_assert_not(fixture.table.put("b", std::string(Platform::maxValueBytes + 1, 'x'), 0, fixture.reason));
    cr_assert_eq(fixture.reason.kind, FailureKind::Invalid);
}
