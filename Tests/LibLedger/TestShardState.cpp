#include "LibLedger/ShardState.h"

#include <criterion/criterion.h>

using namespace Ledger;

namespace {

constexpr int64_t minuteMs = 60'000;

struct State {
    ShardState shard;
    BudgetId budget { "w", "b" };
    Holder a { "host-a", 1 };
    Holder b { "host-b", 1 };
    int64_t nowMs { 1'000 * minuteMs };

    State() { commitAt(nowMs); }

    void commitAt(int64_t timeMs)
    {
        nowMs = timeMs;
        shard.beginCommit(timeMs, timeMs - 60 * minuteMs);
    }

    EntryResult apply(const Entry& entry)
    {
        EntryResult result = shard.apply(entry);
        cr_assert(shard.invariantHolds());
        return result;
    }

    Usage usage(const std::string& attempt, const std::string& request, Holder holder, Tokens tokens)
    {
        return { attempt, request, budget, holder, tokens, UsageKind::Complete, nowMs };
    }

    const BudgetState& numbers() { return shard.budgets().at(budget); }
};

}

// Guards against a top-up that is applied twice when several daemons distribute its note.
Test(ShardState, topUpCountsOnce)
{
    State state;
    cr_assert_eq(state.apply(TopUp { state.budget, "t1", 100 }).code, ResultCode::Applied);
    cr_assert_eq(state.apply(TopUp { state.budget, "t1", 100 }).code, ResultCode::Duplicate);
    cr_assert_eq(state.apply(TopUp { state.budget, "t2", -5 }).code, ResultCode::Rejected);
    cr_assert_eq(state.numbers().toppedUp, 100);
}

// Guards against grants beyond the budget, and against grants that increase when a message is repeated.
Test(ShardState, grantIsReducedToUngrantedTokens)
{
    State state;
    cr_assert_eq(state.apply(Grant { state.budget, state.a, 10 }).code, ResultCode::UnknownBudget);
    state.apply(TopUp { state.budget, "t1", 100 });
    cr_assert_eq(state.apply(Grant { state.budget, state.a, 70 }).cumulativeGranted, 70);
    cr_assert_eq(state.apply(Grant { state.budget, state.a, 70 }).code, ResultCode::Duplicate);
    EntryResult reduced = state.apply(Grant { state.budget, state.b, 70 });
    cr_assert_eq(reduced.cumulativeGranted, 30);
    cr_assert_eq(reduced.ungranted, 0);
    cr_assert_eq(reduced.activeHolders, 2u);
    cr_assert_eq(state.apply(Grant { state.budget, state.a, 71 }).code, ResultCode::Exhausted);
}

// Guards against a return of tokens that the holder has spent, and against a return that is applied twice.
Test(ShardState, returnIsLimitedToTheOutstandingGrant)
{
    State state;
    state.apply(TopUp { state.budget, "t1", 100 });
    state.apply(Grant { state.budget, state.a, 60 });
    state.apply(state.usage("x", "r", state.a, 20));
    cr_assert_eq(state.apply(Return { state.budget, state.a, 41 }).code, ResultCode::Rejected);
    cr_assert_eq(state.apply(Return { state.budget, state.a, 40 }).code, ResultCode::Applied);
    cr_assert_eq(state.apply(Return { state.budget, state.a, 40 }).code, ResultCode::Duplicate);
    cr_assert_eq(state.numbers().ungranted(), 80);
}

// Guards against an attempt that is charged twice, and against two bills for one request.
Test(ShardState, attemptIsChargedOnceAndRequestHasOneBill)
{
    State state;
    state.apply(TopUp { state.budget, "t1", 100 });
    state.apply(Grant { state.budget, state.a, 50 });
    cr_assert_eq(state.apply(state.usage("x", "r", state.a, 10)).code, ResultCode::Applied);
    cr_assert_eq(state.apply(state.usage("x", "r", state.a, 10)).code, ResultCode::Duplicate);
    cr_assert_eq(state.apply(state.usage("y", "r", state.a, 5)).code, ResultCode::Applied);
    cr_assert_eq(state.numbers().spent, 15);
    cr_assert_eq(state.numbers().bills, 1u);
    cr_assert_eq(state.numbers().requestsWithSeveralAttempts, 1u);
}

// Guards against overspend by a bill that is larger than its holder's grant.
Test(ShardState, billBeyondTheGrantNeedsUngrantedTokens)
{
    State state;
    state.apply(TopUp { state.budget, "t1", 100 });
    state.apply(Grant { state.budget, state.a, 50 });
    cr_assert_eq(state.apply(state.usage("x", "r", state.b, 40)).code, ResultCode::Applied);
    cr_assert_eq(state.apply(state.usage("y", "s", state.b, 11)).code, ResultCode::Rejected);
    cr_assert_eq(state.numbers().spent, 40);
    cr_assert_eq(state.numbers().ungranted(), 10);
}

// Guards against a call that is claimed by two daemons, and against a retried claim that fails after a lost reply.
Test(ShardState, callIsClaimedOnce)
{
    State state;
    state.apply(TopUp { state.budget, "t1", 100 });
    Claim claim { "r", state.budget, 30, state.a, "n1", state.nowMs };
    Claim other { "r", state.budget, 30, state.b, "n2", state.nowMs };
    cr_assert_eq(state.apply(claim).code, ResultCode::Applied);
    cr_assert_eq(state.apply(claim).code, ResultCode::Duplicate);
    EntryResult conflict = state.apply(other);
    cr_assert_eq(conflict.code, ResultCode::AlreadyClaimed);
    cr_assert(conflict.existing->claimant == state.a);
    cr_assert_not(conflict.existing->outcome);
    cr_assert_eq(state.apply(Outcome { "r", state.budget, "n2", 200, "", "" }).code, ResultCode::Rejected);
    cr_assert_eq(state.apply(Outcome { "r", state.budget, "n1", 200, "", "ok" }).code, ResultCode::Applied);
    cr_assert_eq(state.apply(Outcome { "r", state.budget, "n1", 200, "", "ok" }).code, ResultCode::Duplicate);
    cr_assert_eq(state.apply(other).existing->outcome->body, "ok");
    cr_assert_eq(state.numbers().spent, 30);
    cr_assert_eq(state.numbers().bills, 1u);
    cr_assert_eq(state.apply(Claim { "s", state.budget, 71, state.a, "n3", state.nowMs }).code, ResultCode::Exhausted);
}

// Guards against a voided claim that is made again by a delayed duplicate of its message.
Test(ShardState, voidedClaimStaysVoid)
{
    State state;
    state.apply(TopUp { state.budget, "t1", 100 });
    Claim claim { "r", state.budget, 30, state.a, "n1", state.nowMs };
    state.apply(claim);
    cr_assert_eq(state.apply(Void { "r", state.budget, "n1" }).code, ResultCode::Applied);
    cr_assert_eq(state.apply(Void { "r", state.budget, "n1" }).code, ResultCode::Duplicate);
    cr_assert_eq(state.apply(claim).code, ResultCode::Rejected);
    cr_assert_eq(state.numbers().ungranted(), 100);
    cr_assert_eq(state.apply(Claim { "r", state.budget, 30, state.b, "n2", state.nowMs }).code, ResultCode::Applied);
    cr_assert_eq(state.apply(Outcome { "r", state.budget, "n2", 200, "", "" }).code, ResultCode::Applied);
    cr_assert_eq(state.apply(Void { "r", state.budget, "n2" }).code, ResultCode::Rejected);
}

// Guards against tokens of a closed holder that stay unavailable, and against later grants to that holder.
Test(ShardState, closedHolderReleasesItsGrant)
{
    State state;
    state.apply(TopUp { state.budget, "t1", 100 });
    state.apply(Grant { state.budget, state.a, 60 });
    state.apply(state.usage("x", "r", state.a, 10));
    cr_assert_eq(state.apply(CloseHolder { state.budget, state.a }).ungranted, 90);
    cr_assert_eq(state.apply(CloseHolder { state.budget, state.a }).code, ResultCode::Duplicate);
    cr_assert_eq(state.apply(Grant { state.budget, state.a, 70 }).code, ResultCode::Rejected);
}

// Guards against a bill that is charged again after its identity has expired.
Test(ShardState, oldBillIsRefusedOnceIdentitiesExpire)
{
    State state;
    state.apply(TopUp { state.budget, "t1", 100 });
    state.apply(Grant { state.budget, state.a, 50 });
    Usage bill = state.usage("x", "r", state.a, 10);
    state.apply(bill);
    for (int minute = 1; minute <= 130; ++minute) {
        state.commitAt(state.nowMs + minuteMs);
        ResultCode code = state.apply(bill).code;
        cr_assert(code == ResultCode::Duplicate || code == ResultCode::Rejected, "charged again after %d minutes", minute);
    }
    cr_assert_eq(state.shard.trackedAttempts(), 0u);
    cr_assert_eq(state.numbers().spent, 10);
    cr_assert_eq(state.apply(TopUp { state.budget, "t1", 100 }).code, ResultCode::Duplicate);
}

// Guards against spending the price of an expired claim again, since its call may have run.
Test(ShardState, expiredClaimKeepsItsPriceUnavailable)
{
    State state;
    state.apply(TopUp { state.budget, "t1", 100 });
    state.apply(Claim { "r", state.budget, 30, state.a, "n1", state.nowMs });
    state.commitAt(state.nowMs + 120 * minuteMs);
    cr_assert(state.shard.claims().empty());
    cr_assert_eq(state.numbers().ungranted(), 70);
    cr_assert_eq(state.shard.audit().at(state.budget).stranded, 30);
}

// Guards against removing a holder's cumulative values while the holder may still send messages with them.
Test(ShardState, holderExpiresOnlyAfterANewerIncarnation)
{
    State state;
    state.apply(TopUp { state.budget, "t1", 100 });
    state.apply(Grant { state.budget, state.a, 50 });
    state.apply(Return { state.budget, state.a, 50 });
    state.commitAt(state.nowMs + 120 * minuteMs);
    cr_assert_eq(state.apply(Grant { state.budget, state.a, 50 }).code, ResultCode::Duplicate);
    state.apply(Grant { state.budget, Holder { "host-a", 2 }, 5 });
    state.commitAt(state.nowMs + 120 * minuteMs);
    cr_assert_not(state.numbers().holders.contains(state.a));
    cr_assert(state.numbers().holders.contains(Holder { "host-a", 2 }));
}
