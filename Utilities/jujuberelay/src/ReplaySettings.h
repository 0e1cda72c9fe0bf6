#pragma once

#include <cstdint>

namespace Commands {

// The endpoint selection policy of the simulated routers.
enum class ReplayPolicy {
    RoundRobin,
    // The endpoint with the fewest in-flight requests of this router.
    LeastRequests,
    Chooser,
};

struct ReplaySettings {
    uint64_t seed { 1 };
    ReplayPolicy policy { ReplayPolicy::Chooser };
    // Arrival rate in percent of the capacity of all slots without prefix cache hits.
    int64_t loadPercent { 95 };
    int64_t requests { 40000 };
    int64_t routers { 32 };
    int64_t endpoints { 48 };
    int64_t slots { 8 };
    // Sampling period of each endpoint's load, and delay until every router receives the sample.
    int64_t reportPeriodMs { 500 };
    int64_t reportLagMs { 250 };
    // A request that gets no slot within this time is shed.
    int64_t firstTokenLimitMs { 5000 };
    int64_t prefillMsPer1000Tokens { 40 };
    int64_t timePerTokenMs { 10 };
    // Prompts share prefixes, whose frequencies follow Zipf's law with exponent 1.
    int64_t prefixes { 2000 };
    int64_t prefixTokens { 1500 };
    // Mean token counts of the prompt without the shared prefix and of the answer, both exponentially distributed.
    int64_t uniqueTokens { 500 };
    int64_t answerTokens { 100 };
    // Capacity of each endpoint's prefix cache.
    int64_t cacheTokens { 200000 };
    // See Routing::ChooserSettings. The load bound is in percent of the mean load.
    int64_t loadBoundPercent { 125 };
    int64_t smallestSpread { 2 };
    int64_t spreadFactor { 32 };
    // The number of routers that the routers assume; see EndpointTable::setDaemonCount.
    int64_t knownRouters { 32 };
    // A router holds a request while the chosen endpoint's load is at least this share of its slots.
    int64_t holdPercent { 200 };
};

}
