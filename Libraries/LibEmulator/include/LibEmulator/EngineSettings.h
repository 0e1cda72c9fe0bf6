#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace Emulator {

struct EngineSettings {
    // Determines the times between tokens and the gaps in the cache events.
    uint64_t seed { 1 };
    // Time to process 1,000 prompt tokens that are not in the prefix cache.
    int64_t prefillMsPer1000Tokens { 40 };
    // Mean time for each token; a single one takes between half and one and a half times as long.
    int64_t timePerTokenUs { 5000 };
    // Largest deviation of a token's time from the mean, 0 to 100.
    int64_t tokenJitterPercent { 50 };
    // Streams that run at once; the rest wait in the order of priority and arrival.
    int64_t slots { 32 };
    // Streams that may wait; further ones are refused with 503.
    int64_t queueLimit { 256 };
    // Memory of the prefix cache in tokens.
    int64_t cacheTokens { 100000 };
    // Age of what GET /v1/load reports.
    int64_t loadLagMs { 500 };
    // Age from which on cache events are reported.
    int64_t cacheEventLagMs { 1000 };
    // Share of the cache events that are never reported.
    int64_t cacheEventGapPercent { 5 };
    // Time for which finished and cancelled streams are kept.
    int64_t keepFinishedMs { 120000 };
    // Whether an order with an older fencing number than the last one is refused.
    bool checksFencing { true };
    // The models loaded at the start; empty: requests for any model are served.
    std::set<std::string> models;
};

}
