#pragma once

#include "LibCore/Address.h"
#include <cstdint>
#include <string>
#include <vector>

namespace Emulator {

struct LoadSettings {
    // Caller addresses of daemons, or addresses of engines; request i goes first to target i modulo their number.
    std::vector<Core::Address> targets;
    // Whether the targets are engines, which are sent a stream identity and a workspace instead of a key.
    bool areEngines { false };
    // Bearer keys, used in turn; empty: no Authorization header.
    std::vector<std::string> keys;
    std::string model { "m" };
    // Number of requests, and how many of them are open at once.
    int64_t count { 100 };
    int64_t concurrency { 8 };
    // Time over which the first requests start, evenly spread; 0: all at once.
    int64_t rampMs { 0 };
    // Determines the prompts.
    uint64_t seed { 1 };
    // Bytes of a prompt's own part, which no other request has.
    int64_t promptBytes { 200 };
    // Number of different shared prefixes, and the size of each.
    int64_t prefixes { 4 };
    int64_t prefixBytes { 1024 };
    int64_t maxTokens { 32 };
    // Share of the requests that ask for a whole answer instead of a stream.
    int64_t wholePercent { 0 };
    // Attempts for each request. A further attempt has the same Idempotency-Key and goes to the next target; it is made
    // when the answer broke off or the target could not be reached.
    int64_t maxAttempts { 1 };
    // Time for each attempt.
    int64_t timeoutMs { 30000 };
};

}
