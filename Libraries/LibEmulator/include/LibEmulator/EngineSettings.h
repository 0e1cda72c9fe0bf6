#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace Emulator {

struct EngineSettings {
    // Seed for the token intervals and for the selection of dropped cache events.
    uint64_t seed { 1 };
    // Prefill time for 1,000 prompt tokens that are not in the prefix cache.
    int64_t prefillMsPer1000Tokens { 40 };
    // Mean time per token; individual times deviate by up to tokenJitterPercent.
    int64_t timePerTokenUs { 5000 };
    // Maximum deviation of a token's time from the mean, 0 to 100.
    int64_t tokenJitterPercent { 50 };
    // Maximum number of concurrently running streams; others are queued by priority and arrival.
    int64_t slots { 32 };
    // Maximum number of queued streams; further ones are rejected with 503.
    int64_t queueLimit { 256 };
    // Capacity of the prefix cache in tokens.
    int64_t cacheTokens { 100000 };
    // Age of the values that GET /v1/load reports.
    int64_t loadLagMs { 500 };
    // Delay before a cache event is reported.
    int64_t cacheEventLagMs { 1000 };
    // Percentage of cache events that are dropped.
    int64_t cacheEventGapPercent { 5 };
    // Retention time of finished and cancelled streams.
    int64_t keepFinishedMs { 120000 };
    // Whether an order with a lower fencing number than the highest one seen is rejected.
    bool checksFencing { true };
    // Models loaded at startup; if empty, requests for any model are served.
    std::set<std::string> models;
};

}
