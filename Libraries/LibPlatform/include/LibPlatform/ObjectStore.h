#pragma once

#include "LibCore/Async.h"
#include "LibCore/Reason.h"
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Platform {

// The platform refuses larger values with 413.
inline constexpr size_t maxValueBytes = 1'000'000;

// The store's revision at which an object was last written; 0 stands for an object that does not exist. A store that is restored
// from an older copy begins a new era, which is in the upper bits, and numbers its revisions from those of the copy. So versions
// always increase, and no version is used twice, although revisions are.
using Version = uint64_t;

inline constexpr int revisionBits = 48;
inline constexpr uint64_t maxRevision = (uint64_t { 1 } << revisionBits) - 1;
inline constexpr uint64_t maxEra = (uint64_t { 1 } << (64 - revisionBits)) - 1;

constexpr Version makeVersion(uint64_t era, uint64_t revision) { return (era << revisionBits) | revision; }
constexpr uint64_t eraOf(Version version) { return version >> revisionBits; }
constexpr uint64_t revisionOf(Version version) { return version & maxRevision; }

struct Object {
    std::string name;
    Version version { 0 };
    std::string value;
    bool operator==(const Object&) const = default;
};

// One consistent snapshot of all objects with a prefix.
struct Listing {
    Version revision { 0 };
    std::vector<Object> objects;
    bool operator==(const Listing&) const = default;
};

struct Change {
    Object object;
    bool isDeleted { false };
    bool operator==(const Change&) const = default;
};

// The changes after a revision, oldest first; empty when the deadline passed without one.
struct Changes {
    Version revision { 0 };
    std::vector<Change> changes;
    bool operator==(const Changes&) const = default;
};

// The platform's object API as a set of functions, so that embedders and tests can supply their own.
// Failures: NotFound (get, remove), Conflict (the expected version did not match), RateLimited, Unavailable
// (no effect), OutcomeUnknown (a write that may have taken effect), NotFound from watch when `since` is too old,
// Invalid (a value over maxValueBytes or a malformed request or reply; no effect), Refused (any other answer without
// effect).
struct ObjectStore {
    std::function<Core::Task<std::optional<Object>>(std::string name, Core::Deadline, Core::Reason&)> get;
    // Writes the value if the object's version is `expected` (0: must not exist); returns the new version.
    std::function<Core::Task<std::optional<Version>>(std::string name, std::string value, Version expected, Core::Deadline, Core::Reason&)> put;
    std::function<Core::Task<bool>(std::string name, Version expected, Core::Deadline, Core::Reason&)> remove;
    std::function<Core::Task<std::optional<Listing>>(std::string prefix, Core::Deadline, Core::Reason&)> list;
    // Waits for changes of objects with the prefix after the revision.
    std::function<Core::Task<std::optional<Changes>>(std::string prefix, Version since, Core::Deadline, Core::Reason&)> watch;
};

}
