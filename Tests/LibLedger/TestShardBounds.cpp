#include "LibLedger/Limits.h"
#include "LibLedger/ShardState.h"

#include <criterion/criterion.h>

using namespace Ledger;

static constexpr int64_t minuteMs = 60'000;
static constexpr int64_t dayMs = 24 * 60 * minuteMs;
static const BudgetId budget { "w", "b" };
static const Holder holder { "host-a", 1 };

static Usage usageAt(int number, int64_t nowMs)
{
    std::string identity = "attempt-" + std::to_string(number);
    return { identity, "request-" + std::to_string(number), budget, holder, 2, UsageKind::Complete, nowMs };
}

// Guards against a shard that rejects every commit because a day's bills exceed the checkpoint's size limit. Without a
// limit on tracked attempts, this happened after six hours at one request per second.
Test(ShardBounds, billsOfADayFitIntoACheckpoint)
{
    ShardState shard;
    int64_t nowMs = 2 * dayMs;
    shard.beginCommit(nowMs, nowMs - dayMs);
    shard.apply(TopUp { budget, "t1", 1'000'000 });
    shard.apply(Grant { budget, holder, 900'000 });
    int number = 0;
    for (int minute = 0; minute < 24 * 60; ++minute) {
        nowMs += minuteMs;
        shard.beginCommit(nowMs, nowMs - dayMs);
        for (int i = 0; i < 60; ++i)
            cr_assert_eq(shard.apply(usageAt(number++, nowMs)).code, ResultCode::Applied);
    }
    cr_assert_leq(shard.trackedAttempts(), maximumAttempts + 60);
    cr_assert_lt(shard.encode().size(), maximumValueBytes);
    cr_assert_eq(shard.budgets().at(budget).spent, 2 * number);
    // A duplicate is detected, and a bill whose identity was removed is rejected rather than charged twice.
    cr_assert_eq(shard.apply(usageAt(number - 1, nowMs)).code, ResultCode::Duplicate);
    cr_assert_eq(shard.apply(usageAt(0, 2 * dayMs + minuteMs)).code, ResultCode::Rejected);
    cr_assert_eq(shard.budgets().at(budget).spent, 2 * number);
}

// Guards against daemons whose states differ because only one of them was restored from a checkpoint.
Test(ShardBounds, restoredStateEvictsTheSame)
{
    ShardState live;
    int64_t nowMs = 2 * dayMs;
    live.beginCommit(nowMs, nowMs - dayMs);
    live.apply(TopUp { budget, "t1", 1'000'000 });
    live.apply(Grant { budget, holder, 900'000 });
    int number = 0;
    std::optional<ShardState> restored;
    for (int minute = 0; minute < 400; ++minute) {
        nowMs += minuteMs;
        live.beginCommit(nowMs, nowMs - dayMs);
        if (restored)
            restored->beginCommit(nowMs, nowMs - dayMs);
        for (int i = 0; i < 60; ++i) {
            // Some identities recur later, which moves them to another minute.
            Usage usage = usageAt(i % 10 == 0 ? number / 2 : number, nowMs);
            ++number;
            EntryResult result = live.apply(usage);
            cr_assert(!restored || restored->apply(usage) == result);
        }
        if (minute == 120)
            restored = ShardState::decode(live.encode());
    }
    cr_assert(*restored == live);
}

// Guards against a checkpoint that exceeds its size limit because of stored outcomes, and against a call that runs
// again because its claim was evicted.
Test(ShardBounds, evictedClaimsStayClaimed)
{
    ShardState shard;
    int64_t nowMs = 2 * dayMs;
    shard.beginCommit(nowMs, nowMs - dayMs);
    shard.apply(TopUp { budget, "t1", 1'000'000 });
    for (int number = 0; number < 2000; ++number) {
        nowMs += minuteMs / 4;
        shard.beginCommit(nowMs, nowMs - dayMs);
        std::string identity = "order-" + std::to_string(number);
        Claim claim { identity, budget, 10, holder, "nonce-" + identity, nowMs };
        cr_assert_eq(shard.apply(claim).code, ResultCode::Applied);
        Outcome outcome { identity, budget, claim.nonce, 200, "text/plain", std::string(maximumOutcomeBodyBytes, 'x') };
        cr_assert_eq(shard.apply(outcome).code, ResultCode::Applied);
    }
    cr_assert_lt(shard.encode().size(), maximumValueBytes);
    EntryResult oldest = shard.apply(Claim { "order-0", budget, 10, holder, "another", nowMs });
    cr_assert_eq(oldest.code, ResultCode::AlreadyClaimed);
    cr_assert_not(oldest.existing->outcome);
    EntryResult latest = shard.apply(Claim { "order-1999", budget, 10, holder, "another", nowMs });
    cr_assert_eq(latest.code, ResultCode::AlreadyClaimed);
    cr_assert(latest.existing->outcome);
    cr_assert_eq(shard.budgets().at(budget).spent, 20'000);
}
