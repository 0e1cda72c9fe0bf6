#pragma once

#include "RoutingReplaySettings.h"
#include <cstdint>

namespace Commands {

// Counts the requests between the first and the last tenth.
struct ReplayResult {
    int64_t answered { 0 };
    int64_t shed { 0 };
    // Answered requests whose prefix was cached.
    int64_t prefixHits { 0 };
    // From the arrival to the first token, of the answered requests.
    double firstTokenMedianMs { 0 };
    double firstToken95Ms { 0 };
};

// Replays a seeded load on routers that share endpoints, at the interfaces of EndpointTable, chooseEndpoint and
// WaitingList. There is no network and no real time.
ReplayResult replayRouting(const RoutingReplaySettings&);

}
