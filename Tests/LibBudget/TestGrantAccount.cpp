#include "LibBudget/GrantAccount.h"

#include <criterion/criterion.h>
#include <random>

using namespace Budget;
using Ledger::EntryResult;
using Ledger::ResultCode;
using Ledger::Tokens;

static const GrantAccount::Time start {};

static EntryResult granted(Tokens cumulative, Tokens ungranted = 0, uint32_t holders = 1)
{
    return { ResultCode::Applied, cumulative, ungranted, holders, std::nullopt };
}

// Guards against spending tokens that are held, settled or returned.
Test(GrantAccount, onlyUnspentTokensAreAvailable)
{
    GrantAccount account;
    cr_assert_not(account.hold(1, start));
    account.applyGrantResult(granted(100));
    cr_assert(account.hold(60, start));
    cr_assert_not(account.hold(41, start));
    account.settle(60, 25, start);
    cr_assert_eq(account.available(), 75);
    cr_assert(account.hold(30, start));
    cr_assert_eq(account.markAvailableReturned(), 45);
    cr_assert_eq(account.available(), 0);
    account.release(30, start);
    cr_assert_eq(account.available(), 30);
}

// Guards against a delayed reply that overwrites a newer grant.
Test(GrantAccount, repliesOutOfOrderKeepTheHighestGrant)
{
    GrantAccount account;
    account.applyGrantResult(granted(100));
    account.applyGrantResult(granted(40));
    cr_assert_eq(account.available(), 100);
}

// Guards against spending after the ledger has closed this holder and released its tokens.
Test(GrantAccount, closedHolderSpendsNothing)
{
    GrantAccount account;
    account.applyGrantResult(granted(100));
    account.applyGrantResult({ ResultCode::Rejected, 100, 0, 0, std::nullopt });
    cr_assert(account.isClosed());
    cr_assert_not(account.hold(1, start));
}

// Guards against demand that does not decay, so that tokens would be prefetched for idle budgets.
Test(GrantAccount, demandFollowsConsumption)
{
    GrantAccount account;
    account.applyGrantResult(granted(1'000'000));
    GrantAccount::Time now = start;
    for (int i = 0; i < 200; ++i) {
        now += std::chrono::milliseconds(100);
        cr_assert(account.hold(100, now));
        account.settle(100, 50, now);
    }
    cr_assert_gt(account.tokensPerSecond(now), 400);
    cr_assert_lt(account.tokensPerSecond(now), 600);
    cr_assert_lt(account.tokensPerSecond(now + std::chrono::seconds(20)), 1);
}

// Guards against prefetching more than the holder's share of the ungranted tokens.
Test(GrantPolicy, prefetchIsLimitedToTheShare)
{
    GrantPolicy policy = defaultGrantPolicy({ 2, 0.25 });
    GrantPolicyInput input { { "w", "b" }, 100, 0, 1000, 8100, 4, false };
    cr_assert_eq(policy(input), 100 + 500);
    input.ungranted = 1'000'000;
    cr_assert_eq(policy(input), 100 + 2000);
    input.isScarce = true;
    cr_assert_eq(policy(input), 100);
    input.isScarce = false;
    input.ungranted.reset();
    cr_assert_eq(policy(input), 100);
    input.ungranted = 50;
    cr_assert_eq(policy(input), 100);
}

// Guards against prefetched tokens that accumulate with each request: spare tokens count towards the prefetched amount.
Test(GrantPolicy, spareTokensAreNotRequestedAgain)
{
    GrantPolicy policy = defaultGrantPolicy({ 2, 0.25 });
    cr_assert_eq(policy({ { "w", "b" }, 0, 1500, 1000, 1'000'000, 4, false }), 500);
    cr_assert_eq(policy({ { "w", "b" }, 0, 2500, 1000, 1'000'000, 4, false }), 0);
}
