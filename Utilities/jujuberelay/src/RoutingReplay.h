#pragma once

#include "ReplaySettings.h"
#include <cstdint>

namespace Commands {

// Covers all requests except the first and the last tenth.
struct ReplayResult {
    int64_t answered { 0 };
    int64_t shed { 0 };
    // Answered requests whose prefix was cached.
    int64_t prefixHits { 0 };
    // Time from arrival to first token of the answered requests.
    double firstTokenP50Ms { 0 };
    double firstTokenP95Ms { 0 };
};

// Simulates a seeded load on routers that share endpoints, using the production EndpointTable, chooseEndpoint and
// WaitingList. Uses no network and a virtual clock.
ReplayResult replayRouting(const ReplaySettings&);

}
