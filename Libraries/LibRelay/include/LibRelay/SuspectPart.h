#pragma once

#include "LibCore/Reason.h"
#include "LibPlatform/ObjectStore.h"
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

// The record of a prompt part that may crash engines, as daemons share it through the store.
namespace Relay {

// A process of an engine that ended while it worked on an answer or shortly after.
struct EngineCrash {
    std::string endpointId;
    // Start time of the process in milliseconds since the Unix epoch, as registered.
    int64_t startedAtMs { 0 };
    auto operator<=>(const EngineCrash&) const = default;
};

struct SuspectPart {
    // Crashes that a record keeps at most. A further one takes the place of the newest.
    static constexpr size_t maxCrashes = 32;
    // The prefix of all records.
    static constexpr const char* prefix = "relay-suspect-parts/";

    // Id of the prompt part.
    std::string id;
    // The crashes of engines that were answering a prompt with the part, or had just answered one, oldest first and each once.
    std::vector<EngineCrash> crashes;

    bool contains(const EngineCrash&) const;
    // Whether all crashes of the other part were crashes of this one too. Up to `maxUnexplained` crashes may be missing here if as
    // many of this part's crashes are missing there: engines also crash for other reasons, and not every daemon sees each crash.
    bool explains(const SuspectPart&, size_t maxUnexplained) const;
    // Adds a crash; false if it is known already.
    bool add(const EngineCrash&);
    bool operator==(const SuspectPart&) const = default;
};

// A record in the store and its revision there.
struct SuspectRecord {
    SuspectPart part;
    Platform::Version version { 0 };
    bool operator==(const SuspectRecord&) const = default;
};

// Identifies a part by the hash of its id.
uint64_t suspectKeyOf(const std::string& partId);
// The name of the object that keeps the record of a part.
std::string suspectNameOf(uint64_t key);
// Empty if the name is not one of a record.
std::optional<uint64_t> suspectKeyOfName(const std::string& name);

// Serialized JSON.
std::string encodeSuspect(const SuspectPart&);
// Fails with a reason of kind Invalid if the object is not a record.
std::optional<SuspectRecord> decodeSuspect(const Platform::Object&, Core::Reason&);

}
