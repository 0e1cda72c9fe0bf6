#pragma once

#include "LibPlatform/ObjectStore.h"
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Relay {

// What changed after a revision: each object once, as it is now.
struct ObjectChanges {
    Platform::Version revision { 0 };
    std::vector<Platform::Object> changed;
    std::vector<std::string> deleted;
    bool operator==(const ObjectChanges&) const = default;
};

// What is known of the objects with one prefix, so that a follower of them can serve others.
class ObjectCache {
public:
    // Deletions that are remembered.
    explicit ObjectCache(size_t maxDeletions = 1'000);

    // Takes over a snapshot; older ones than the newest known are ignored.
    void replace(const Platform::Listing&);
    void apply(const Platform::Changes&);
    void apply(const ObjectChanges&);

    // 0 before the first snapshot.
    Platform::Version revision() const { return m_revision; }

    // Empty when deletions after the revision may be forgotten: only a new snapshot tells then.
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
    // Oldest first. All deletions after m_completeSince are here.
    std::deque<Deletion> m_deletions;
    Platform::Version m_completeSince { 0 };
};

}
