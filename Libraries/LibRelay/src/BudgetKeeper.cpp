#include "LibRelay/BudgetKeeper.h"

#include "Events.h"
#include <algorithm>
#include <cmath>

namespace Relay {

using Core::Deadline;
using Core::FailureKind;
using Core::Reason;

// Time constant of the average demand.
static constexpr double demandSeconds = 4;
// Daemons that are assumed to share a budget before the ledgers show more.
static constexpr size_t fewestDaemons = 4;
static constexpr std::chrono::milliseconds retryPause(60);
static constexpr std::chrono::milliseconds maintenancePause(1'000);
// Below this share of the budget, grants that are not used go back at once.
static constexpr double scarceShare = 0.25;

BudgetKeeper::BudgetKeeper(const boost::asio::any_io_executor& executor, SubmitChange submit, BudgetSettings settings)
    : m_executor(executor)
    , m_submit(std::move(submit))
    , m_settings(std::move(settings))
{
}

BudgetKeeper::Account& BudgetKeeper::account(const std::string& workspace)
{
    std::shared_ptr<Account>& account = m_accounts[workspace];
    if (!account) {
        account = std::make_shared<Account>(m_executor);
        account->workspace = workspace;
    }
    return *account;
}

void BudgetKeeper::setIncarnation(uint64_t incarnation)
{
    m_incarnation = incarnation;
}

void BudgetKeeper::adopt(const Configuration& configuration)
{
    for (const auto& [name, workspace] : configuration.workspaces()) {
        Account& changed = account(name);
        Tokens before = changed.budget.value_or(0);
        changed.budget = workspace.budget;
        changed.configurationVersion = configuration.version();
        // A lower budget may be below what is granted already: unused grants go back before they are spent.
        if (changed.budget && *changed.budget < before && changed.available() > 0 && !changed.isChanging)
            Core::spawn(m_executor, "return grants", giveBack(m_accounts[name], changed.available()));
        changed.changed.notifyAll();
    }
}

void BudgetKeeper::recordDemand(Account& account, Tokens tokens)
{
    Core::SteadyClock::time_point now = Core::SteadyClock::now();
    double elapsed = std::chrono::duration<double>(now - account.demandAt).count();
    double kept = std::exp(-std::min(elapsed, 60.0) / demandSeconds);
    account.demandRate = account.demandRate * kept + static_cast<double>(tokens) / demandSeconds;
    account.largestHold = std::max<Tokens>(tokens, static_cast<Tokens>(static_cast<double>(account.largestHold) * kept));
    account.demandAt = now;
}

Tokens BudgetKeeper::reserveTarget(const Account& account) const
{
    if (!account.state)
        return 0;
    double most = static_cast<double>(account.state->remaining) * m_settings.reserveShare * shareOf(account);
    double elapsed = std::chrono::duration<double>(Core::SteadyClock::now() - account.demandAt).count();
    double rate = account.demandRate * std::exp(-std::min(elapsed, 60.0) / demandSeconds);
    double wished = std::max(rate * m_settings.reserveSeconds, elapsed < demandSeconds ? static_cast<double>(account.largestHold) : 0.0);
    return std::max<Tokens>(0, static_cast<Tokens>(std::min(wished, most)));
}

double BudgetKeeper::shareOf(const Account& account) const
{
    double equalShare = 1.0 / static_cast<double>(std::max(m_knownDaemons, fewestDaemons));
    if (account.state->granted <= 0 || account.state->grantedToAll <= 0)
        return equalShare;
    double ownShare = static_cast<double>(account.state->granted) / static_cast<double>(account.state->grantedToAll);
    return (equalShare + ownShare) / 2;
}

Core::Task<HoldResult> BudgetKeeper::hold(std::string workspace, Tokens tokens, Deadline deadline, Reason& reason)
{
    std::shared_ptr<Account> held = m_accounts[workspace];
    if (!held || !held->budget)
        co_return HoldResult::Granted;
    Account& account = *held;
    recordDemand(account, tokens);
    if (tokens > *account.budget) {
        reason = { FailureKind::Refused, "hold tokens", workspace, "the request needs " + std::to_string(tokens) + " tokens of a budget of " + std::to_string(*account.budget) };
        co_return HoldResult::Exhausted;
    }
    if (!m_incarnation) {
        reason = { FailureKind::Unavailable, "hold tokens", "store", "this daemon is not announced yet" };
        co_return HoldResult::Unavailable;
    }
    Deadline exhaustedAt = Deadline::after(std::chrono::milliseconds(m_settings.exhaustedWaitMs));
    Core::SteadyClock::time_point askedAt = Core::SteadyClock::now();
    while (account.available() < tokens) {
        bool isFresh = account.state && account.stateAt >= askedAt;
        Tokens reachable = account.state ? account.available() + account.state->remaining : 0;
        if (isFresh && reachable < tokens && (exhaustedAt.hasPassed() || deadline.hasPassed())) {
            reason = { FailureKind::Refused, "hold tokens", workspace, "needs " + std::to_string(tokens) + " tokens; " + describe(workspace) };
            co_return HoldResult::Exhausted;
        }
        if (deadline.hasPassed()) {
            reason = account.lastFailure.value_or(Reason { FailureKind::TimedOut, "hold tokens", "store", "no answer in time" });
            co_return HoldResult::Unavailable;
        }
        account.wanted += tokens;
        account.waiting.insert(tokens);
        startRefill(held);
        co_await account.changed.wait(std::min(deadline, Deadline::after(retryPause)));
        account.wanted -= tokens;
        account.waiting.erase(account.waiting.find(tokens));
    }
    account.held += tokens;
    if (account.available() < reserveTarget(account) / 2)
        startRefill(held);
    co_return HoldResult::Granted;
}

void BudgetKeeper::settle(const std::string& workspace, Tokens held, Tokens used)
{
    Account& settled = account(workspace);
    settled.held -= held;
    settled.spent += used;
    settled.changed.notifyAll();
}

void BudgetKeeper::startRefill(const std::shared_ptr<Account>& account)
{
    if (account->isChanging || !m_incarnation)
        return;
    account->isChanging = true;
    Core::spawn(m_executor, "refill grant", refill(account));
}

Core::Task<bool> BudgetKeeper::change(Account& account, Tokens wanted, Tokens least, bool isUrgent, Reason& reason)
{
    GrantChange change { account.workspace, m_settings.host, *m_incarnation, (account.state ? account.state->sequence : 0) + 1, wanted, least, 0, 0 };
    bool mayBeWritten = false;
    while (!m_isStopping) {
        change.configurationVersion = account.configurationVersion;
        change.budget = account.budget.value_or(0);
        Core::SteadyClock::time_point askedAt = Core::SteadyClock::now();
        std::optional<GrantState> state
            = co_await m_submit(change, isUrgent, Deadline::after(std::chrono::milliseconds(m_settings.changeTimeoutMs)), reason);
        if (state && state->isSuperseded) {
            reason = { FailureKind::Refused, "change grant", "store", "a later process runs on this host" };
            co_return false;
        }
        // The answer of a writer whose copy is behind says nothing of this daemon's grant.
        if (state && account.state && state->sequence < account.state->sequence) {
            reason = { FailureKind::Unavailable, "change grant", "store", "the writer's copy is behind" };
            state = std::nullopt;
        }
        if (state) {
            account.state = *state;
            account.stateAt = askedAt;
            m_knownDaemons = std::max<size_t>(m_knownDaemons, state->daemons);
            reason = {};
            co_return state->isApplied;
        }
        mayBeWritten = mayBeWritten || reason.kind == FailureKind::OutcomeUnknown;
        account.lastFailure = reason;
        account.changed.notifyAll();
        // A grant that certainly was not written can be forgotten; any other change is sent again until it is known.
        if (!mayBeWritten)
            co_return false;
        co_await Core::sleepUntil(Deadline::after(retryPause));
    }
    co_return false;
}

Core::Task<void> BudgetKeeper::refill(std::shared_ptr<Account> held)
{
    Account& account = *held;
    Reason reason;
    // One waiting request that can go on is better than none.
    Tokens least = account.waiting.empty() ? 0 : *account.waiting.begin() - account.available();
    Tokens wanted = account.wanted + reserveTarget(account) - account.available();
    bool isUrgent = account.wanted > 0;
    if (wanted > 0)
        co_await change(account, wanted, std::clamp<Tokens>(least, 0, wanted), isUrgent, reason);
    account.isChanging = false;
    account.lastFailure = std::nullopt;
    if (!reason.step.empty()) {
        account.lastFailure = reason;
        Core::logEvent(Events::ledgerUnavailable, "workspace=" + account.workspace + " reason=\"" + reason.text() + "\" " + describe(account.workspace));
    }
    account.changed.notifyAll();
}

Core::Task<void> BudgetKeeper::giveBack(std::shared_ptr<Account> held, Tokens tokens)
{
    Account& account = *held;
    if (account.isChanging || tokens <= 0 || !m_incarnation)
        co_return;
    account.isChanging = true;
    // The tokens are not available while their return is on its way.
    account.returning = tokens;
    Reason reason;
    co_await change(account, -tokens, 0, true, reason);
    account.returning = 0;
    account.isChanging = false;
    account.changed.notifyAll();
}

Core::Task<void> BudgetKeeper::returnAll(Deadline deadline)
{
    // All at once, so that the ledger's writer takes them into one write.
    bool isAnyLeft = true;
    while (isAnyLeft && !deadline.hasPassed()) {
        isAnyLeft = false;
        for (const auto& [name, account] : m_accounts) {
            isAnyLeft = isAnyLeft || account->isChanging || account->available() > 0;
            if (!account->isChanging && account->available() > 0)
                Core::spawn(m_executor, "return grant", giveBack(account, account->available()));
        }
        co_await Core::sleepUntil(std::min(deadline, Deadline::after(retryPause)));
    }
}

Core::Task<void> BudgetKeeper::maintain()
{
    while (!m_isStopping) {
        co_await Core::sleepUntil(Deadline::after(maintenancePause));
        // Returning changes no account's place, but a configuration may add some meanwhile.
        std::vector<std::shared_ptr<Account>> accounts;
        for (const auto& [name, account] : m_accounts)
            accounts.push_back(account);
        for (const std::shared_ptr<Account>& account : accounts) {
            if (!account->state || !account->budget || account->isChanging)
                continue;
            bool isScarce = static_cast<double>(account->state->remaining) < scarceShare * static_cast<double>(*account->budget);
            Tokens surplus = account->available() - 2 * reserveTarget(*account);
            if (isScarce && surplus > 0)
                co_await giveBack(account, account->available() - reserveTarget(*account));
        }
    }
}

std::string BudgetKeeper::describe(const std::string& workspace) const
{
    auto it = m_accounts.find(workspace);
    if (it == m_accounts.end())
        return "no budget";
    const Account& account = *it->second;
    std::string text = "budget=" + (account.budget ? std::to_string(*account.budget) : "none") + " granted=" + std::to_string(account.granted())
        + " spent=" + std::to_string(account.spent) + " held=" + std::to_string(account.held);
    if (!account.state)
        return text + " grant=none";
    int64_t ageMs = std::chrono::duration_cast<std::chrono::milliseconds>(Core::SteadyClock::now() - account.stateAt).count();
    return text + " remaining=" + std::to_string(account.state->remaining) + " grant_age_ms=" + std::to_string(ageMs);
}

}
