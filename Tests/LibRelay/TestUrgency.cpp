#include "LibRelay/Urgency.h"

#include <criterion/criterion.h>
#include <limits>

using namespace Relay;

// Guards against a hint (priority 0) waiting behind commentary (priority 2), or ranking with requests that name no urgency.
Test(Urgency, followsThePriority)
{
    cr_assert_eq(urgencyOf({ 0, 250, 5 }), 1);
    cr_assert_eq(urgencyOf({ 1, 300, 5 }), 3);
    cr_assert_eq(urgencyOf({ 2, 1'000, 5 }), 5);
    cr_assert_eq(urgencyOf({ 4, 1'000, 5 }), 9);
}

// Guards against header values outside 0 to 9, which an engine refuses.
Test(Urgency, staysInTheRangeOfEngines)
{
    for (int priority : { std::numeric_limits<int>::min(), -1, 5, 9, std::numeric_limits<int>::max() }) {
        for (bool hasEvents : { false, true }) {
            int urgency = urgencyOf({ priority, 0, 0, hasEvents });
            cr_assert(urgency >= mostUrgent && urgency <= leastUrgent, "priority %d", priority);
        }
    }
}

// Guards against a request of a lower priority that is short of time preempting one of a higher priority.
Test(Urgency, timeLeftNeverOutweighsThePriority)
{
    for (int priority = 0; priority < 4; ++priority) {
        for (int64_t elapsedMs : { 0, 100, 200, 299, 300, 5'000 })
            cr_assert_lt(urgencyOf({ priority, 300, elapsedMs }), urgencyOf({ priority + 1, 300, 299, true }));
    }
}

// Guards against a retry, which has used up most of the time to its target, queueing behind requests that have just arrived, and
// against one that is late already being put before them.
Test(Urgency, requestsShortOfTimeAreHurried)
{
    cr_assert_eq(urgencyOf({ 1, 300, 149 }), 3);
    cr_assert_eq(urgencyOf({ 1, 300, 160 }), 2);
    cr_assert_eq(urgencyOf({ 1, 300, 300 }), 3);
    cr_assert_eq(urgencyOf({ 1, 0, 160 }), 3);
}

// Guards against a long pause in a stream that is moved to another engine while new requests of its priority pass it.
Test(Urgency, streamsInProgressAreHurried)
{
    cr_assert_eq(urgencyOf({ 0, 250, 4'000, true }), 0);
    cr_assert_eq(urgencyOf({ 2, 0, 4'000, true }), 4);
}

// Guards against the priority of a route hiding that of a workspace, which takes precedence also when it is lower.
Test(Urgency, priorityOfTheWorkspaceTakesPrecedence)
{
    Route route;
    route.priority = 2;
    Workspace workspace;
    cr_assert_eq(effectivePriority(route, nullptr), 2);
    cr_assert_eq(effectivePriority(route, &workspace), 2);
    workspace.priority = 0;
    cr_assert_eq(effectivePriority(route, &workspace), 0);
    workspace.priority = 4;
    cr_assert_eq(effectivePriority(route, &workspace), 4);
}
