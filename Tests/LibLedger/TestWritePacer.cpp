#include "LibLedger/WritePacer.h"

#include <criterion/criterion.h>

using namespace Ledger;

// Guards against a shard that uses up the platform's writes: counts what a shard with endless work may write.
Test(WritePacer, averageAndBurstAreKept)
{
    WritePacer pacer(3, 150);
    WritePacer::Time now = WritePacer::Time() + std::chrono::hours(1);
    WritePacer::Time start = now;
    int inTenSeconds = 0;
    int inTenMinutes = 0;
    while (now < start + std::chrono::minutes(10)) {
        pacer.countWrite(now);
        inTenSeconds += now < start + std::chrono::seconds(10);
        ++inTenMinutes;
        now = std::max(now, pacer.nextWrite().at());
    }
    cr_assert_leq(inTenSeconds, 150 + 30);
    cr_assert_leq(inTenMinutes, 150 + 3 * 600 + 1);
    cr_assert_geq(inTenMinutes, 3 * 600);
}

// Guards against a pacer that delays writes when no limit is set.
Test(WritePacer, noLimitMeansNoWait)
{
    WritePacer pacer(0, 0);
    WritePacer::Time now = WritePacer::Time() + std::chrono::hours(1);
    for (int i = 0; i < 1000; ++i)
        pacer.countWrite(now);
    cr_assert(pacer.nextWrite().at() <= now);
}
