#include "LibLedger/WriteRateLimiter.h"

#include <criterion/criterion.h>

using namespace Ledger;

// Guards against a shard that exceeds its write rate: counts the writes of a shard with unlimited work.
Test(WriteRateLimiter, averageAndBurstAreKept)
{
    WriteRateLimiter limiter(3, 150);
    WriteRateLimiter::Time now = WriteRateLimiter::Time() + std::chrono::hours(1);
    WriteRateLimiter::Time start = now;
    int inTenSeconds = 0;
    int inTenMinutes = 0;
    while (now < start + std::chrono::minutes(10)) {
        limiter.recordWrite(now);
        inTenSeconds += now < start + std::chrono::seconds(10);
        ++inTenMinutes;
        now = std::max(now, limiter.nextWrite().at());
    }
    cr_assert_leq(inTenSeconds, 150 + 30);
    cr_assert_leq(inTenMinutes, 150 + 3 * 600 + 1);
    cr_assert_geq(inTenMinutes, 3 * 600);
}

// Guards against delayed writes when no limit is set.
Test(WriteRateLimiter, noLimitMeansNoWait)
{
    WriteRateLimiter limiter(0, 0);
    WriteRateLimiter::Time now = WriteRateLimiter::Time() + std::chrono::hours(1);
    for (int i = 0; i < 1000; ++i)
        limiter.recordWrite(now);
    cr_assert(limiter.nextWrite().at() <= now);
}
