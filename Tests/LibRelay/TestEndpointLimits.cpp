#include "LibRelay/EndpointLimits.h"
#include <criterion/criterion.h>

using namespace Relay;
using std::chrono::milliseconds;

static const Core::SteadyClock::time_point start { std::chrono::hours(1) };

static Endpoint endpointStartedAt(int64_t startedAtMs)
{
    Endpoint endpoint;
    endpoint.id = "e";
    endpoint.startedAtMs = startedAtMs;
    return endpoint;
}

// Guards against forgetting a limit because of an answer that the endpoint may have made before it named the limit, and against
// keeping it although a later answer names none.
Test(EndpointLimits, onlyAnAnswerToALaterRequestEndsALimit)
{
    EndpointLimits limits;
    Endpoint endpoint = endpointStartedAt(1);
    cr_assert(limits.record(endpoint, 4.0, start, start + milliseconds(10)));
    cr_assert_not(limits.record(endpoint, std::nullopt, start + milliseconds(9), start + milliseconds(20)));
    cr_assert_eq(limits.limitOf(endpoint).value_or(-1), 4);
    cr_assert(limits.record(endpoint, std::nullopt, start + milliseconds(10), start + milliseconds(30)));
    cr_assert_not(limits.limitOf(endpoint));
}

// Guards against missing a new value of a limit.
Test(EndpointLimits, latestLimitHolds)
{
    EndpointLimits limits;
    Endpoint endpoint = endpointStartedAt(1);
    limits.record(endpoint, 4.0, start, start);
    cr_assert_not(limits.record(endpoint, 4.0, start, start + milliseconds(1)));
    cr_assert(limits.record(endpoint, 2.5, start, start + milliseconds(2)));
    cr_assert_eq(limits.limitOf(endpoint).value_or(-1), 2.5);
}

// Guards against applying a limit to a later process under the same id, against a late answer of the process before it, and against
// forgetting the limit while the registration has lapsed.
Test(EndpointLimits, limitBelongsToOneProcess)
{
    EndpointLimits limits;
    limits.record(endpointStartedAt(5), 4.0, start, start);
    cr_assert_not(limits.limitOf(endpointStartedAt(6)));
    limits.forget("e");
    cr_assert_eq(limits.limitOf(endpointStartedAt(5)).value_or(-1), 4);
    limits.record(endpointStartedAt(6), 3.0, start, start);
    cr_assert_not(limits.record(endpointStartedAt(5), 9.0, start, start + milliseconds(1)));
    cr_assert_eq(limits.limitOf(endpointStartedAt(6)).value_or(-1), 3);
    limits.record(endpointStartedAt(7), std::nullopt, start, start);
    cr_assert_not(limits.limitOf(endpointStartedAt(7)));
    limits.record(endpointStartedAt(0), 2.0, start, start);
    limits.forget("e");
    cr_assert_not(limits.limitOf(endpointStartedAt(0)));
}
