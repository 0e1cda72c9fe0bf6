#include "Account.h"
#include "BudgetEvents.h"
#include "LibBudget/Accounts.h"
#include <algorithm>
#include <numeric>

// The parts of Accounts that move tokens between the ledger and this daemon.
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
    reason = { Core::FailureKind::Invalid, "commit ledger entries", "shard " + std::to_string(shard), "the answer has a wrong number of results" };
    co_return std::nullopt;
}

void Accounts::startGrant(const AccountPointer& account)
{
    if (account->isGrantInFlight)
        return;
    account->isGrantInFlight = true;
    Core::spawn(m_executor, "grant of " + account->budget.text(), requestGrant(account));
}

Core::Task<void> Accounts::requestGrant(AccountPointer account)
{
    Core::SteadyClock::time_point now = Core::SteadyClock::now();
    GrantAccount& numbers = account->numbers;
    Tokens wanted = std::accumulate(account->wanted.begin(), account->wanted.end(), Tokens(0));
    GrantNeed need = numbers.need(account->budget, wanted, now);
    Tokens size = std::max(need.missing, m_settings.policy(need));
    Tokens target = numbers.granted() + size;
    Core::Reason reason;
    std::optional<Ledger::EntryResult> result = co_await submitOne(Ledger::Grant { account->budget, m_self, target }, Core::Deadline::after(m_settings.grantTimeout), reason);
    account->isGrantInFlight = false;
    ++account->grantAnswers;
    account->answeredAt = Core::SteadyClock::now();
    account->failure.reset();
    if (!result) {
        account->failure = reason;
    } else {
        account->isUnknown = result->code == Ledger::ResultCode::UnknownBudget;
        account->isExhausted = result->cumulativeGranted < target;
        numbers.applyGrantResult(*result);
        account->foundTokens = numbers.available();
        if (account->isExhausted)
            numbers.markScarceUntil(account->answeredAt + m_settings.scarceTime);
        if (numbers.isClosed())
            Core::logEvent(holderClosed, "budget " + account->budget.text() + ": the ledger has closed the grants of " + m_self.text());
    }
    // Several daemons that each wait with a part of the remainder would all be refused although it covers one of them.
    if (account->isExhausted && !account->wanted.empty() && numbers.available() < *account->wanted.begin())
        startReturn(account);
    account->changed.notifyAll();
}

void Accounts::startReturn(const AccountPointer& account)
{
    account->numbers.giveUpAvailable();
    if (account->isReturnInFlight || account->confirmedReturned == account->numbers.returned())
        return;
    account->isReturnInFlight = true;
    Core::spawn(m_executor, "return of " + account->budget.text(), sendReturns(account));
}

Core::Task<void> Accounts::sendReturns(AccountPointer account)
{
    while (account->confirmedReturned < account->numbers.returned()) {
        Tokens cumulative = account->numbers.returned();
        Core::Reason reason;
        std::optional<Ledger::EntryResult> result = co_await submitOne(Ledger::Return { account->budget, m_self, cumulative }, Core::Deadline::after(m_settings.grantTimeout), reason);
        if (!result) {
            Core::logEvent(returnFailed, "budget " + account->budget.text() + ": " + reason.text());
            // The maintenance task sends the number again.
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
    GrantAccount& numbers = account->numbers;
    bool isIdle = now >= numbers.lastUsed() + m_settings.grantIdle;
    bool isScarce = numbers.isScarce(now);
    if (account->wanted.empty() && (isIdle || isScarce)) {
        startReturn(account);
        return;
    }
    if (account->confirmedReturned < numbers.returned() && !account->isReturnInFlight) {
        account->isReturnInFlight = true;
        Core::spawn(m_executor, "return of " + account->budget.text(), sendReturns(account));
    }
    bool wasExhausted = account->isExhausted && now < account->answeredAt + m_settings.longestRetry;
    bool mayPrefetch = !isScarce && !wasExhausted && !numbers.isClosed() && !m_isReturningAll;
    if (mayPrefetch && numbers.runsLow(account->budget, m_settings.policy, m_settings.prefetchSeconds, now))
        startGrant(account);
}

Core::Task<void> Accounts::run()
{
    while (!m_isStopped) {
        for (const std::pair<const Ledger::BudgetId, AccountPointer>& item : m_accounts)
            maintain(item.second);
        co_await Core::sleepUntil(Core::Deadline::after(m_settings.tick));
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
        while (account->confirmedReturned < account->numbers.returned() || account->isGrantInFlight) {
            if (deadline.hasPassed()) {
                reason = { Core::FailureKind::TimedOut, "return grants", account->budget.text(), "the ledger has not confirmed the return in time" };
                co_return false;
            }
            startReturn(account);
            co_await account->changed.wait(std::min(deadline, Core::Deadline::after(m_settings.longestRetry)));
        }
    }
    co_return true;
}

}
