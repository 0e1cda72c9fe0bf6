#pragma once

#include "LibRelay/Configuration.h"

namespace Relay {

// Levels of urgency that engines know; 0 is served first. An engine takes a request that names none as 5.
static constexpr int mostUrgent = 0;
static constexpr int leastUrgent = 9;

// What the urgency of a request depends on.
struct UrgencyQuery {
    // Priority of the workspace, else of the route; 0 is the most urgent.
    int priority { 0 };
    // Time from the request's arrival to the target for its first event, in milliseconds; 0: no target.
    int64_t objectiveMs { 0 };
    // Time since the request arrived, in milliseconds.
    int64_t elapsedMs { 0 };
    // The caller has received events of the answer, and waits for the next one.
    bool hasEvents { false };
};

int effectivePriority(const Route&, const Workspace*);

// The urgency with which a request is sent to an engine. Each priority has two levels, so that the time left never lifts a request
// above one of a higher priority.
int urgencyOf(const UrgencyQuery&);

}
