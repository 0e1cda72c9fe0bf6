#include "LibRelay/ObjectCache.h"
#include <criterion/criterion.h>

using namespace Relay;

static Platform::Object object(const std::string& name, Platform::Version version)
{
    return { name, version, "v" + std::to_string(version) };
}

// Guards against reporting changes that the follower already has, and against omitting those that it does not have.
Test(ObjectCache, reportsChangesSinceARevision)
{
    ObjectCache cache;
    cache.replace({ 10, { object("k/a", 3), object("k/b", 7) } });
    cache.apply(Platform::Changes { 12, { { object("k/c", 11), false }, { object("k/a", 12), true } } });
    std::optional<ObjectChanges> changes = cache.changesSince(10);
    cr_assert(changes);
    cr_assert_eq(changes->revision, 12);
    cr_assert_eq(changes->changed.size(), 1);
    cr_assert_eq(changes->changed.front().name, "k/c");
    cr_assert_eq(changes->deleted, std::vector<std::string> { "k/a" });
    cr_assert(cache.changesSince(12)->changed.empty() && cache.changesSince(12)->deleted.empty());
}

// Guards against a follower with a revision from before the first snapshot keeping an object that was deleted since.
Test(ObjectCache, deletionsBeforeTheFirstSnapshotAreUnknown)
{
    ObjectCache cache;
    cache.replace({ 10, { object("k/a", 3) } });
    cr_assert_not(cache.changesSince(9));
}

// Guards against a follower keeping a deleted object because the deletion was evicted.
Test(ObjectCache, evictedDeletionsRequireASnapshot)
{
    ObjectCache cache(1);
    cache.replace({ 10, { object("k/a", 3), object("k/b", 4) } });
    cache.apply(Platform::Changes { 11, { { object("k/a", 11), true } } });
    cache.apply(Platform::Changes { 12, { { object("k/b", 12), true } } });
    cr_assert_not(cache.changesSince(10));
    cr_assert_eq(cache.changesSince(11)->deleted.size(), 1);
}

// Guards against reporting the deletion of an object that was created again, which would remove it at the follower.
Test(ObjectCache, recreatedObjectIsNotDeleted)
{
    ObjectCache cache;
    cache.replace({ 10, { object("k/a", 3) } });
    cache.apply(Platform::Changes { 11, { { object("k/a", 11), true } } });
    cache.apply(Platform::Changes { 12, { { object("k/a", 12), false } } });
    std::optional<ObjectChanges> changes = cache.changesSince(10);
    cr_assert(changes->deleted.empty());
    cr_assert_eq(changes->changed.size(), 1);
}

// Guards against replies that arrive out of order restoring an older state.
Test(ObjectCache, olderRevisionsAreIgnored)
{
    ObjectCache cache;
    cache.replace({ 10, { object("k/a", 9) } });
    cache.replace({ 8, {} });
    cache.apply(Platform::Changes { 9, { { object("k/a", 9), true } } });
    cache.apply(ObjectChanges { 9, {}, { "k/a" } });
    cr_assert_eq(cache.revision(), 10);
    cr_assert_eq(cache.changesSince(0), std::nullopt);
    cr_assert(cache.changesSince(10)->deleted.empty());
    cr_assert_eq(cache.changesSince(10)->changed.size(), 0);
}

// Guards against followers keeping objects that a snapshot no longer lists.
Test(ObjectCache, objectsMissingFromASnapshotAreDeleted)
{
    ObjectCache cache;
    cache.replace({ 10, { object("k/a", 3), object("k/b", 4) } });
    cache.replace({ 20, { object("k/b", 4) } });
    cr_assert_eq(cache.changesSince(10)->deleted, std::vector<std::string> { "k/a" });
}
