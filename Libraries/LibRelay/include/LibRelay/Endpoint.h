#pragma once

#include "LibCore/Address.h"
#include <cstdint>
#include <optional>
#include <string>

namespace Relay {

// One registered endpoint.
struct Endpoint {
    // Most endpoints get a new id at each start.
    std::string id;
    std::string service;
    Core::Address address;
    std::string failureDomain;
    // Version of the endpoint's software. Streams do not continue at another one. Empty: not named.
    std::string softwareVersion {};
    // Requests that run concurrently; 0: unknown.
    int64_t slots { 0 };
    // The endpoint is draining and accepts no new requests.
    bool isLeaving { false };
    // Start time in milliseconds since the Unix epoch. An endpoint that restarts under the same id has a later one.
    int64_t startedAtMs { 0 };
    // The rest of the time in which it is cold, when the entry was written, in milliseconds. Empty if the entry has no valid one.
    std::optional<int64_t> coldLeftMs {};
    // Why the entry's cold time could not be read; empty if it has none.
    std::string coldLeftFault {};

    // Whether this entry may describe the process that started at processStartMs, or an earlier one. Only a later start time proves
    // a new process; 0 is unknown.
    bool isWithinLifeOf(int64_t processStartMs) const { return processStartMs == 0 || startedAtMs <= processStartMs; }

    // Whether both entries describe one registration. The rest of the cold time counts down without any other change.
    bool isSameRegistration(const Endpoint& other) const
    {
        return id == other.id && service == other.service && address == other.address && failureDomain == other.failureDomain && softwareVersion == other.softwareVersion
            && slots == other.slots && isLeaving == other.isLeaving && startedAtMs == other.startedAtMs;
    }

    bool operator==(const Endpoint&) const = default;
};

}
