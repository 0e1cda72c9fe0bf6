#pragma once

#include "LibPlatform/ObjectStore.h"
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Relay {

// The changes since a revision. Each object appears once, in its current state.
struct ObjectChanges {
    Platform::Version revision { 0 };
    std::vector<Platform::Object> changed;
    std::vector<std::string> deleted;
    bool operator==(const ObjectChanges&) const = default;
};

// Caches the objects with one prefix and their recent deletions, so that a follower can serve other daemons' watches.
class ObjectCache {
public:
    // maxDeletions bounds the number of deletions that are remembered.
    explicit ObjectCache(size_t maxDeletions = 1'000);

    // Replaces the contents with a snapshot. Snapshots older than the current revision are ignored.
    void replace(const Platform::Listing&);
    void apply(const Platform::Changes&);
    void apply(const ObjectChanges&);

    // 0 before the first snapshot.
    Platform::Version revision() const { return m_revision; }

    // Empty if deletions after the revision may have been evicted, in which case a new snapshot is needed.
    std::optional<ObjectChanges> changesSince(Platform::Version) const;

private:
    struct Deletion {
        Platform::Version revision { 0 };
        std::string name;
    };

    void put(const Platform::Object&);
    void remove(const std::string& name, Platform::Version);
    void forgetOldDeletions();

    size_t m_maxDeletions;
    Platform::Version m_revision { 0 };
    std::map<std::string, Platform::Object> m_objects;
    // Oldest first. Contains all deletions after m_completeSince.
    std::deque<Deletion> m_deletions;
    Platform::Version m_completeSince { 0 };
};

}
