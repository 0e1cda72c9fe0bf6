#include "LibBudget/Accounts.h"

#include "Account.h"
#include "LibCore/Random.h"
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

Core::Deadline Accounts::waitLimit(Core::Deadline deadline) const
{
    std::chrono::milliseconds share(static_cast<int64_t>(static_cast<double>(deadline.remaining().count()) * m_settings.waitShare));
    return std::min(deadline, Core::Deadline::after(std::min(share, m_settings.longestWait)));
}

Core::Task<std::optional<Hold>> Accounts::acquire(Ledger::BudgetId budget, Tokens tokens, Core::Deadline deadline, Core::Reason& reason)
{
    if (tokens < 0) {
        reason = { Core::FailureKind::Invalid, "acquire tokens", budget.text(), "the number of tokens is negative" };
        co_return std::nullopt;
    }
    AccountPointer pointer = account(budget);
    // Requests that already wait come first.
    if (pointer->wanted.empty() && pointer->numbers.hold(tokens, Core::SteadyClock::now()))
        co_return Hold { budget, tokens };
    pointer->wanted.insert(tokens);
    std::optional<Hold> hold = co_await waitForGrant(pointer, tokens, waitLimit(deadline), reason);
    pointer->wanted.erase(pointer->wanted.find(tokens));
    // Without waiting requests, what is left of a scarce budget goes back.
    if (pointer->wanted.empty())
        holdEnded(pointer);
    co_return hold;
}

bool Accounts::isHopeless(const Account& account, Tokens tokens) const
{
    bool isRecent = Core::SteadyClock::now() < account.answeredAt + m_settings.exhaustedLifetime;
    return account.isExhausted && isRecent && tokens > account.foundTokens && !account.numbers.othersHoldGrants() && account.numbers.held() == 0;
}

Core::Task<std::optional<Hold>> Accounts::waitForGrant(AccountPointer account, Tokens tokens, Core::Deadline limit, Core::Reason& reason)
{
    Core::Reason exhausted { Core::FailureKind::Refused, "acquire tokens", account->budget.text(), "budget exhausted" };
    std::chrono::milliseconds retry = m_settings.shortestRetry;
    bool saidExhausted = false;
    while (true) {
        if (account->numbers.hold(tokens, Core::SteadyClock::now()))
            co_return Hold { account->budget, tokens };
        if (account->numbers.isClosed()) {
            reason = { Core::FailureKind::Unavailable, "acquire tokens", account->budget.text(), "the ledger has closed this daemon's grants" };
            co_return std::nullopt;
        }
        if (isHopeless(*account, tokens)) {
            reason = exhausted;
            co_return std::nullopt;
        }
        uint64_t answers = account->grantAnswers;
        startGrant(account);
        while (account->grantAnswers == answers && co_await account->changed.wait(limit)) {
            if (account->numbers.hold(tokens, Core::SteadyClock::now()))
                co_return Hold { account->budget, tokens };
        }
        bool isAnswered = account->grantAnswers != answers;
        saidExhausted = saidExhausted || (isAnswered && account->isExhausted && !account->failure);
        if (isAnswered && account->isUnknown) {
            reason = { Core::FailureKind::NotFound, "acquire tokens", account->budget.text(), "the ledger has no top-up of this budget" };
            co_return std::nullopt;
        }
        if (account->numbers.hold(tokens, Core::SteadyClock::now()))
            co_return Hold { account->budget, tokens };
        if (limit.hasPassed()) {
            reason = exhausted;
            if (!saidExhausted)
                reason = account->failure.value_or(Core::Reason { Core::FailureKind::TimedOut, "acquire tokens", account->budget.text(), "the ledger did not answer in time" });
            co_return std::nullopt;
        }
        if (isHopeless(*account, tokens))
            continue;
        // Random waits let one of several daemons that each got a part of the remainder get all of it.
        std::chrono::milliseconds wait = retry / 2 + std::chrono::milliseconds(Core::randomBelow(static_cast<uint64_t>(retry.count()) + 1));
        retry = std::min(retry * 2, m_settings.longestRetry);
        co_await account->changed.wait(std::min(limit, Core::Deadline::after(wait)));
    }
}

void Accounts::settle(const Hold& hold, Tokens used)
{
    AccountPointer pointer = account(hold.budget);
    pointer->numbers.settle(hold.tokens, used, Core::SteadyClock::now());
    holdEnded(pointer);
}

void Accounts::release(const Hold& hold)
{
    AccountPointer pointer = account(hold.budget);
    pointer->numbers.release(hold.tokens, Core::SteadyClock::now());
    holdEnded(pointer);
}

void Accounts::holdEnded(const AccountPointer& account)
{
    account->changed.notifyAll();
    bool returnsAtOnce = m_isReturningAll || account->numbers.isScarce(Core::SteadyClock::now());
    if (returnsAtOnce && account->wanted.empty())
        startReturn(account);
}

void Accounts::recall(const Ledger::BudgetId& budget)
{
    std::map<Ledger::BudgetId, AccountPointer>::iterator found = m_accounts.find(budget);
    if (found == m_accounts.end())
        return;
    found->second->numbers.markScarceUntil(Core::SteadyClock::now() + m_settings.scarceTime);
    startReturn(found->second);
}

std::vector<AccountStatus> Accounts::snapshot() const
{
    std::vector<AccountStatus> statuses;
    for (const std::pair<const Ledger::BudgetId, AccountPointer>& item : m_accounts) {
        const GrantAccount& numbers = item.second->numbers;
        statuses.push_back({ item.first, numbers.granted(), numbers.returned(), numbers.settled(), numbers.held(), numbers.available(), static_cast<uint32_t>(item.second->wanted.size()) });
    }
    return statuses;
}

}
