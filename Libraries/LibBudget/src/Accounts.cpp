#include "LibBudget/Accounts.h"

#include "Account.h"
#include "LibCore/Random.h"
#include "LibLedger/Limits.h"
#include <algorithm>

namespace Budget {

using Ledger::Tokens;

Accounts::Accounts(const boost::asio::any_io_executor& executor, Ledger::Holder self, uint32_t shardCount, Ledger::Submit submit, AccountSettings settings)
    : m_executor(executor)
    , m_self(std::move(self))
    , m_shardCount(shardCount)
    , m_submit(std::move(submit))
    , m_settings(std::move(settings))
{
    if (!m_settings.policy)
        m_settings.policy = defaultGrantPolicy({});
}

Accounts::~Accounts() = default;

Accounts::AccountPointer Accounts::account(const Ledger::BudgetId& budget)
{
    AccountPointer& found = m_accounts[budget];
    if (!found)
        found = std::make_shared<Account>(m_executor, budget);
    return found;
}

Core::Deadline Accounts::waitDeadline(Core::Deadline deadline) const
{
    std::chrono::milliseconds share(static_cast<int64_t>(static_cast<double>(deadline.remaining().count()) * m_settings.maximumWaitFraction));
    return std::min(deadline, Core::Deadline::after(std::min(share, m_settings.maximumWait)));
}

Core::Task<std::optional<Hold>> Accounts::acquire(Ledger::BudgetId budget, Tokens tokens, Core::Deadline deadline, Core::Reason& reason)
{
    if (tokens < 0) {
        reason = { Core::FailureKind::Invalid, "acquire tokens", budget.text(), "number of tokens is negative" };
        co_return std::nullopt;
    }
    // A grant of this size would be rejected, as would the bill.
    if (tokens > Ledger::maximumTokens) {
        reason = { Core::FailureKind::Refused, "acquire tokens", budget.text(), "budget exhausted: a request can use " + std::to_string(Ledger::maximumTokens) + " tokens at most" };
        co_return std::nullopt;
    }
    AccountPointer pointer = account(budget);
    // Waiting requests take precedence.
    if (pointer->waitingAmounts.empty() && pointer->balance.hold(tokens, Core::SteadyClock::now()))
        co_return Hold { budget, tokens };
    pointer->waitingAmounts.insert(tokens);
    std::optional<Hold> hold = co_await waitForGrant(pointer, tokens, waitDeadline(deadline), reason);
    pointer->waitingAmounts.erase(pointer->waitingAmounts.find(tokens));
    // Returns the available tokens of a scarce budget if no requests are waiting.
    if (pointer->waitingAmounts.empty())
        onHoldEnded(pointer);
    co_return hold;
}

bool Accounts::isKnownExhausted(const Account& account, Tokens tokens) const
{
    bool isRecent = Core::SteadyClock::now() < account.grantCompletedAt + m_settings.exhaustedCacheTime;
    return account.isExhausted && isRecent && tokens > account.availableAfterGrant && !account.balance.othersHoldGrants() && account.balance.held() == 0;
}

Core::Task<std::optional<Hold>> Accounts::waitForGrant(AccountPointer account, Tokens tokens, Core::Deadline limit, Core::Reason& reason)
{
    Core::Reason exhausted { Core::FailureKind::Refused, "acquire tokens", account->budget.text(), "budget exhausted" };
    std::chrono::milliseconds retry = m_settings.initialRetryDelay;
    bool reportedExhausted = false;
    while (true) {
        if (account->balance.hold(tokens, Core::SteadyClock::now()))
            co_return Hold { account->budget, tokens };
        if (account->balance.isClosed()) {
            reason = { Core::FailureKind::Unavailable, "acquire tokens", account->budget.text(), "ledger has closed this daemon's grants" };
            co_return std::nullopt;
        }
        if (isKnownExhausted(*account, tokens)) {
            reason = exhausted;
            co_return std::nullopt;
        }
        uint64_t completedBefore = account->completedGrantRequests;
        startGrantRequest(account);
        while (account->completedGrantRequests == completedBefore && co_await account->changed.wait(limit)) {
            if (account->balance.hold(tokens, Core::SteadyClock::now()))
                co_return Hold { account->budget, tokens };
        }
        bool isCompleted = account->completedGrantRequests != completedBefore;
        reportedExhausted = reportedExhausted || (isCompleted && account->isExhausted && !account->failure);
        if (isCompleted && account->isUnknownBudget) {
            reason = { Core::FailureKind::NotFound, "acquire tokens", account->budget.text(), "ledger has no top-up for this budget" };
            co_return std::nullopt;
        }
        if (account->balance.hold(tokens, Core::SteadyClock::now()))
            co_return Hold { account->budget, tokens };
        if (limit.hasPassed()) {
            reason = exhausted;
            if (!reportedExhausted)
                reason = account->failure.value_or(Core::Reason { Core::FailureKind::TimedOut, "acquire tokens", account->budget.text(), "ledger did not answer in time" });
            co_return std::nullopt;
        }
        if (isKnownExhausted(*account, tokens))
            continue;
        // Random delays let one of several competing daemons obtain all of the remaining tokens.
        std::chrono::milliseconds wait = retry / 2 + std::chrono::milliseconds(Core::randomBelow(static_cast<uint64_t>(retry.count()) + 1));
        retry = std::min(retry * 2, m_settings.maximumRetryDelay);
        co_await account->changed.wait(std::min(limit, Core::Deadline::after(wait)));
    }
}

void Accounts::settle(const Hold& hold, Tokens used)
{
    AccountPointer pointer = account(hold.budget);
    pointer->balance.settle(hold.tokens, used, Core::SteadyClock::now());
    onHoldEnded(pointer);
}

void Accounts::release(const Hold& hold)
{
    AccountPointer pointer = account(hold.budget);
    pointer->balance.release(hold.tokens, Core::SteadyClock::now());
    onHoldEnded(pointer);
}

void Accounts::onHoldEnded(const AccountPointer& account)
{
    account->changed.notifyAll();
    bool returnsTokens = m_isReturningAll || account->balance.isScarce(Core::SteadyClock::now());
    if (returnsTokens && account->waitingAmounts.empty())
        startReturn(account);
}

void Accounts::recall(const Ledger::BudgetId& budget)
{
    std::map<Ledger::BudgetId, AccountPointer>::iterator found = m_accounts.find(budget);
    if (found == m_accounts.end())
        return;
    found->second->balance.markScarceUntil(Core::SteadyClock::now() + m_settings.scarcityDuration);
    startReturn(found->second);
}

std::vector<AccountStatus> Accounts::snapshot() const
{
    std::vector<AccountStatus> statuses;
    for (const std::pair<const Ledger::BudgetId, AccountPointer>& item : m_accounts) {
        const GrantAccount& balance = item.second->balance;
        statuses.push_back({ item.first, balance.granted(), balance.returned(), balance.settled(), balance.held(), balance.available(), static_cast<uint32_t>(item.second->waitingAmounts.size()) });
    }
    return statuses;
}

}
