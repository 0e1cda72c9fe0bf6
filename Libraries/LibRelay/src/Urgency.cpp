#include "LibRelay/Urgency.h"

#include <algorithm>

namespace Relay {

static constexpr int levelsPerPriority = 2;
// A request is hurried once less than one part in so many of the time to its target is left.
static constexpr int64_t hurriedDivisor = 2;

int effectivePriority(const Route& route, const Workspace* workspace)
{
    return workspace && workspace->priority ? *workspace->priority : route.priority;
}

// A request past its target gains less than others lose by waiting for it, so it is not hurried.
static bool isHurried(const UrgencyQuery& query)
{
    if (query.hasEvents)
        return true;
    int64_t leftMs = query.objectiveMs - std::max<int64_t>(0, query.elapsedMs);
    return query.objectiveMs > 0 && leftMs > 0 && leftMs < query.objectiveMs / hurriedDivisor;
}

int urgencyOf(const UrgencyQuery& query)
{
    int priority = std::clamp(query.priority, 0, (leastUrgent - 1) / levelsPerPriority);
    return levelsPerPriority * priority + (isHurried(query) ? 0 : 1);
}

}
