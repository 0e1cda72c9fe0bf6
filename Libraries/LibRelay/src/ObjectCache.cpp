#include "LibRelay/ObjectCache.h"

#include <set>

namespace Relay {

ObjectCache::ObjectCache(size_t maxDeletions)
    : m_maxDeletions(maxDeletions)
{
}

void ObjectCache::put(const Platform::Object& object)
{
    m_objects.insert_or_assign(object.name, object);
}

void ObjectCache::remove(const std::string& name, Platform::Version revision)
{
    if (m_objects.erase(name) > 0)
        m_deletions.push_back({ revision, name });
}

void ObjectCache::forgetOldDeletions()
{
    while (m_deletions.size() > m_maxDeletions) {
        m_completeSince = m_deletions.front().revision;
        m_deletions.pop_front();
    }
}

void ObjectCache::replace(const Platform::Listing& listing)
{
    if (listing.revision < m_revision)
        return;
    // What a restored store has lost is unknown, so deletions are known only from this snapshot on.
    if (m_revision == 0 || Platform::eraOf(listing.revision) != Platform::eraOf(m_revision))
        m_completeSince = listing.revision;
    std::set<std::string> listed;
    for (const Platform::Object& object : listing.objects) {
        listed.insert(object.name);
        put(object);
    }
    std::vector<std::string> missing;
    for (const auto& [name, object] : m_objects) {
        if (!listed.contains(name))
            missing.push_back(name);
    }
    for (const std::string& name : missing)
        remove(name, listing.revision);
    m_revision = listing.revision;
    forgetOldDeletions();
}

void ObjectCache::apply(const Platform::Changes& changes)
{
    if (changes.revision < m_revision)
        return;
    for (const Platform::Change& change : changes.changes) {
        if (change.isDeleted)
            remove(change.object.name, changes.revision);
        else
            put(change.object);
    }
    m_revision = changes.revision;
    forgetOldDeletions();
}

void ObjectCache::apply(const ObjectChanges& changes)
{
    if (changes.revision < m_revision)
        return;
    for (const Platform::Object& object : changes.changed)
        put(object);
    for (const std::string& name : changes.deleted)
        remove(name, changes.revision);
    m_revision = changes.revision;
    forgetOldDeletions();
}

std::optional<ObjectChanges> ObjectCache::changesSince(Platform::Version since) const
{
    if (since < m_completeSince)
        return std::nullopt;
    ObjectChanges changes { m_revision, {}, {} };
    for (const auto& [name, object] : m_objects) {
        if (object.version > since)
            changes.changed.push_back(object);
    }
    for (const Deletion& deletion : m_deletions) {
        if (deletion.revision > since && !m_objects.contains(deletion.name))
            changes.deleted.push_back(deletion.name);
    }
    return changes;
}

}
