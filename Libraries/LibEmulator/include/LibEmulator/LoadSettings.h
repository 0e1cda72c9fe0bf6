#pragma once

#include "LibCore/Address.h"
#include <cstdint>
#include <string>
#include <vector>

namespace Emulator {

struct LoadSettings {
    // Caller addresses of daemons or addresses of engines. Request i is first sent to target i modulo their number.
    std::vector<Core::Address> targets;
    // Whether the targets are engines, which also get the X-Stream-Id and X-Workspace headers.
    bool targetsAreEngines { false };
    // Bearer keys, used round-robin; if empty, no Authorization header is sent.
    std::vector<std::string> keys;
    std::string model { "m" };
    // Number of requests, and the maximum number in flight.
    int64_t count { 100 };
    int64_t concurrency { 8 };
    // Time over which the workers start, evenly spaced; 0 starts all at once.
    int64_t rampMs { 0 };
    // Seed for the prompts.
    uint64_t seed { 1 };
    // Size of the part of a prompt that is unique to its request.
    int64_t promptBytes { 200 };
    // Number of distinct shared prefixes, and the size of each.
    int64_t prefixes { 4 };
    int64_t prefixBytes { 1024 };
    int64_t maxTokens { 32 };
    // Percentage of non-streaming requests.
    int64_t nonStreamingPercent { 0 };
    // Maximum attempts per request. A retry has the same Idempotency-Key and goes to the next target. A request is
    // retried if its answer was interrupted, if the target was unreachable, or if a retry was refused as in_progress.
    int64_t maxAttempts { 1 };
    // Time limit for each attempt.
    int64_t timeoutMs { 30000 };
};

}
