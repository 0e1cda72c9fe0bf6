#include "Account.h"
#include "BudgetEvents.h"
#include "LibBudget/Accounts.h"
#include "LibCore/Saturating.h"
#include "LibLedger/Limits.h"
#include <algorithm>
#include <numeric>

// Member functions of Accounts that transfer tokens between the ledger and this daemon.
namespace Budget {

using Ledger::Tokens;

Core::Task<std::optional<Ledger::EntryResult>> Accounts::submitOne(Ledger::Entry entry, Core::Deadline deadline, Core::Reason& reason)
{
    uint32_t shard = Ledger::shardOf(Ledger::budgetOf(entry), m_shardCount);
    std::vector<Ledger::Entry> entries { std::move(entry) };
    std::optional<std::vector<Ledger::EntryResult>> results = co_await m_submit(shard, std::move(entries), deadline, reason);
    if (!results)
        co_return std::nullopt;
    if (results->size() == 1)
        co_return results->front();
    reason = { Core::FailureKind::Invalid, "commit ledger entries", "shard " + std::to_string(shard), "reply has " + std::to_string(results->size()) + " results instead of 1" };
    co_return std::nullopt;
}

void Accounts::startGrantRequest(const AccountPointer& account)
{
    if (account->isGrantInFlight)
        return;
    account->isGrantInFlight = true;
    Core::spawn(m_executor, "grant of " + account->budget.text(), requestGrant(account));
}

Core::Task<void> Accounts::requestGrant(AccountPointer account)
{
    Core::SteadyClock::time_point now = Core::SteadyClock::now();
    GrantAccount& balance = account->balance;
    Tokens wanted = std::accumulate(account->waitingAmounts.begin(), account->waitingAmounts.end(), Tokens(0), Core::saturatingAdd<Tokens>);
    GrantPolicyInput input = balance.policyInput(account->budget, wanted, now);
    Tokens size = std::max(input.shortfall, m_settings.policy(input));
    // The ledger closes the account of a holder that asks for more.
    Tokens target = std::min(Core::saturatingAdd(balance.granted(), size), Ledger::maximumCumulativeTokens);
    Core::Reason reason;
    std::optional<Ledger::EntryResult> result = co_await submitOne(Ledger::Grant { account->budget, m_self, target }, Core::Deadline::after(m_settings.grantTimeout), reason);
    account->isGrantInFlight = false;
    ++account->completedGrantRequests;
    account->grantCompletedAt = Core::SteadyClock::now();
    account->failure.reset();
    if (!result) {
        account->failure = reason;
    } else {
        account->isUnknownBudget = result->code == Ledger::ResultCode::UnknownBudget;
        account->isExhausted = result->cumulativeGranted < target;
        balance.applyGrantResult(*result);
        account->availableAfterGrant = balance.available();
        if (account->isExhausted)
            balance.markScarceUntil(account->grantCompletedAt + m_settings.scarcityDuration);
        if (balance.isClosed())
            Core::logEvent(holderClosed, "budget " + account->budget.text() + ": the ledger has closed the grants of " + m_self.text());
    }
    // If several waiting daemons each kept a part of the remaining tokens, all would be refused although the sum covers
    // one of them.
    if (account->isExhausted && !account->waitingAmounts.empty() && balance.available() < *account->waitingAmounts.begin())
        startReturn(account);
    account->changed.notifyAll();
}

void Accounts::startReturn(const AccountPointer& account)
{
    account->balance.markAvailableReturned();
    if (account->isReturnInFlight || account->confirmedReturned == account->balance.returned())
        return;
    account->isReturnInFlight = true;
    Core::spawn(m_executor, "return of " + account->budget.text(), sendReturns(account));
}

Core::Task<void> Accounts::sendReturns(AccountPointer account)
{
    while (account->confirmedReturned < account->balance.returned()) {
        Tokens cumulative = account->balance.returned();
        Core::Reason reason;
        std::optional<Ledger::EntryResult> result = co_await submitOne(Ledger::Return { account->budget, m_self, cumulative }, Core::Deadline::after(m_settings.grantTimeout), reason);
        if (!result) {
            Core::logEvent(returnFailed, "budget " + account->budget.text() + ": " + reason.text());
            // The maintenance task retries the return.
            break;
        }
        if (result->code != Ledger::ResultCode::Applied && result->code != Ledger::ResultCode::Duplicate)
            Core::logEvent(returnFailed, "budget " + account->budget.text() + ": the ledger refused a cumulative return of " + std::to_string(cumulative));
        account->confirmedReturned = cumulative;
    }
    account->isReturnInFlight = false;
    account->changed.notifyAll();
}

void Accounts::maintain(const AccountPointer& account)
{
    Core::SteadyClock::time_point now = Core::SteadyClock::now();
    GrantAccount& balance = account->balance;
    bool isIdle = now >= balance.lastUsed() + m_settings.grantIdleTimeout;
    bool isScarce = balance.isScarce(now);
    if (account->waitingAmounts.empty() && (isIdle || isScarce)) {
        startReturn(account);
        return;
    }
    if (account->confirmedReturned < balance.returned() && !account->isReturnInFlight) {
        account->isReturnInFlight = true;
        Core::spawn(m_executor, "return of " + account->budget.text(), sendReturns(account));
    }
    bool wasExhausted = account->isExhausted && now < account->grantCompletedAt + m_settings.maximumRetryDelay;
    bool mayPrefetch = !isScarce && !wasExhausted && !balance.isClosed() && !m_isReturningAll;
    if (mayPrefetch && balance.needsPrefetch(account->budget, m_settings.policy, m_settings.minimumPrefetchSeconds, now))
        startGrantRequest(account);
}

Core::Task<void> Accounts::run()
{
    while (!m_isStopped) {
        for (const std::pair<const Ledger::BudgetId, AccountPointer>& item : m_accounts)
            maintain(item.second);
        co_await Core::sleepUntil(Core::Deadline::after(m_settings.maintenanceInterval));
    }
}

Core::Task<bool> Accounts::returnAll(Core::Deadline deadline, Core::Reason& reason)
{
    m_isReturningAll = true;
    std::vector<AccountPointer> accounts;
    for (const std::pair<const Ledger::BudgetId, AccountPointer>& item : m_accounts)
        accounts.push_back(item.second);
    for (const AccountPointer& account : accounts)
        startReturn(account);
    for (const AccountPointer& account : accounts) {
        while (account->confirmedReturned < account->balance.returned() || account->isGrantInFlight) {
            if (deadline.hasPassed()) {
                reason = { Core::FailureKind::TimedOut, "return grants", account->budget.text(), "ledger did not confirm the return in time" };
                co_return false;
            }
            startReturn(account);
            co_await account->changed.wait(std::min(deadline, Core::Deadline::after(m_settings.maximumRetryDelay)));
        }
    }
    co_return true;
}

}
