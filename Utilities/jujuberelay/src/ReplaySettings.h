#pragma once

#include <cstdint>

namespace Commands {

// How the routers of a replay choose endpoints.
enum class ReplayPolicy {
    RoundRobin,
    // The endpoint with the fewest of the router's own requests.
    LeastRequests,
    Chooser,
};

struct ReplaySettings {
    uint64_t seed { 1 };
    ReplayPolicy policy { ReplayPolicy::Chooser };
    // Arrivals in percent of what all slots can serve when no prefix is cached.
    int64_t loadPercent { 95 };
    int64_t requests { 40000 };
    int64_t routers { 32 };
    int64_t endpoints { 48 };
    int64_t slots { 8 };
    // Each endpoint's load is read this often, and every router has the report this much later.
    int64_t reportPeriodMs { 500 };
    int64_t reportLagMs { 250 };
    // A request that has no slot by then is shed.
    int64_t firstTokenLimitMs { 5000 };
    int64_t prefillMsPer1000Tokens { 40 };
    int64_t timePerTokenMs { 10 };
    // Prompts share prefixes; the n-th most frequent one occurs 1/n times as often as the first.
    int64_t prefixes { 2000 };
    int64_t prefixTokens { 1500 };
    // Mean numbers of tokens of the prompt's own part and of the answer; both are distributed exponentially.
    int64_t ownTokens { 500 };
    int64_t answerTokens { 100 };
    // Memory of each endpoint's prefix cache.
    int64_t cacheTokens { 200000 };
    // The chooser's settings: the load bound in percent of the mean, and the spread of prefixes.
    int64_t loadBoundPercent { 125 };
    int64_t smallestSpread { 2 };
    int64_t spreadFactor { 32 };
    // What the routers take for the number of routers; see EndpointTable::setDaemonCount.
    int64_t knownRouters { 32 };
    // A router holds a request while the chosen endpoint's load is at least this share of its slots.
    int64_t holdPercent { 200 };
};

}
