#include "LibRelay/BudgetManager.h"

#include "Events.h"
#include "LibCore/Random.h"
#include <algorithm>
#include <cmath>

namespace Relay {

using Core::Deadline;
using Core::FailureKind;
using Core::Reason;

// Time constant of the decaying demand average.
static constexpr double demandTimeConstantSeconds = 4;
// Minimum number of daemons assumed to share a budget, until the ledgers show more.
static constexpr size_t minAssumedDaemons = 4;
static constexpr std::chrono::milliseconds retryDelay(60);
static constexpr std::chrono::milliseconds maintenanceInterval(1'000);
// Allocators to try before the row is changed in the store directly.
static constexpr int maxAllocatorAttempts = 2;
// Refills without an answer from an allocator before the row is changed in the store directly. After a network partition all
// daemons would otherwise write their rows at the same time, and all but one of them conflict.
static constexpr int maxFailedTransfers = 2;
// Largest share of the remainder that an allocator keeps in its pool for other daemons.
static constexpr double maxPoolShare = 0.1;
// Reserves and pools shrink from the first to the second of these shares of the budget that remain. What a daemon has when it
// crashes counts as spent, and near the end of a budget that would be most of what is left.
static constexpr double scarcityStart = 0.5;
static constexpr double scarcityEnd = 0.1;
// Seconds of the other daemons' demand that an allocator keeps in its pool however little remains, so that not every transfer
// costs a write to the store.
static constexpr double minPoolSeconds = 0.25;
// Available tokens above this multiple of the target are returned.
static constexpr double surplusFactor = 1.5;

void BudgetManager::Rate::add(Tokens tokens)
{
    m_rate = std::max(0.0, perSecond() + static_cast<double>(tokens) / demandTimeConstantSeconds);
    m_updatedAt = Core::SteadyClock::now();
}

double BudgetManager::Rate::perSecond() const
{
    static constexpr double maxElapsedSeconds = 60;
    double elapsed = std::chrono::duration<double>(Core::SteadyClock::now() - m_updatedAt).count();
    return m_rate * std::exp(-std::min(elapsed, maxElapsedSeconds) / demandTimeConstantSeconds);
}

BudgetManager::BudgetManager(const boost::asio::any_io_executor& executor, BudgetHooks hooks, BudgetSettings settings)
    : m_executor(executor)
    , m_hooks(std::move(hooks))
    , m_settings(std::move(settings))
{
}

BudgetManager::Account& BudgetManager::account(const std::string& workspace)
{
    std::shared_ptr<Account>& account = m_accounts[workspace];
    if (!account) {
        account = std::make_shared<Account>(m_executor);
        account->workspace = workspace;
    }
    return *account;
}

std::shared_ptr<BudgetManager::Account> BudgetManager::findAccount(const std::string& workspace) const
{
    auto it = m_accounts.find(workspace);
    return it == m_accounts.end() ? nullptr : it->second;
}

void BudgetManager::setIncarnation(uint64_t incarnation)
{
    m_incarnation = incarnation;
}

void BudgetManager::adopt(const Configuration& configuration)
{
    for (const auto& [name, workspace] : configuration.workspaces()) {
        Account& changed = account(name);
        Tokens previousBudget = changed.budget.value_or(0);
        changed.budget = workspace.budget;
        changed.configurationVersion = configuration.version();
        // A lowered budget may be less than what is already granted, so unused grants are returned before they are spent.
        if (changed.budget && *changed.budget < previousBudget && changed.available() > 0 && !changed.isChanging)
            Core::spawn(m_executor, "return grants", returnTokens(m_accounts[name], changed.available()));
        changed.changed.notifyAll();
    }
}

void BudgetManager::updateRemaining(Account& account, Tokens remaining, Tokens grantedToAll, Core::SteadyClock::time_point askedAt)
{
    account.remaining = remaining;
    account.grantedToAll = grantedToAll;
    account.remainingAsOf = askedAt;
}

double BudgetManager::reserveScale(const Account& account) const
{
    double remainingShare = static_cast<double>(account.remaining.value_or(0)) / (static_cast<double>(account.budget.value_or(0)) + 1);
    return std::clamp((remainingShare - scarcityEnd) / (scarcityStart - scarcityEnd), 0.0, 1.0);
}

Tokens BudgetManager::reserveTarget(const Account& account) const
{
    if (!account.remaining || !m_isReserving)
        return 0;
    double limit = static_cast<double>(*account.remaining) * reserveScale(account) * m_settings.reserveShare * shareOf(account);
    double rate = account.demand.perSecond();
    double desired = std::max(rate * m_settings.reserveSeconds, std::min(rate * demandTimeConstantSeconds * 2, static_cast<double>(account.largestHold)));
    return std::max<Tokens>(0, static_cast<Tokens>(std::min(desired, limit)));
}

Tokens BudgetManager::poolTarget(const Account& account) const
{
    if (!account.remaining || !m_isReserving)
        return 0;
    double limit = static_cast<double>(*account.remaining) * maxPoolShare;
    double seconds = std::max(minPoolSeconds, m_settings.poolSeconds * reserveScale(account));
    return std::max<Tokens>(0, static_cast<Tokens>(std::min(account.pool.perSecond() * seconds, limit)));
}

double BudgetManager::shareOf(const Account& account) const
{
    double equalShare = 1.0 / static_cast<double>(std::max(m_daemons, minAssumedDaemons));
    if (account.granted() <= 0 || account.grantedToAll <= 0)
        return equalShare;
    double ownShare = static_cast<double>(account.granted()) / static_cast<double>(account.grantedToAll);
    return (equalShare + std::min(ownShare, 1.0)) / 2;
}

Core::Task<HoldResult> BudgetManager::hold(std::string workspace, Tokens tokens, Deadline deadline, Reason& reason)
{
    std::shared_ptr<Account> account = findAccount(workspace);
    if (!account || !account->budget)
        co_return HoldResult::Granted;
    if (tokens < 0) {
        reason = { FailureKind::Invalid, "hold tokens", workspace, "the number of tokens is negative" };
        co_return HoldResult::Exhausted;
    }
    if (tokens > *account->budget) {
        reason = { FailureKind::Refused, "hold tokens", workspace, "request needs " + std::to_string(tokens) + " tokens but the whole budget is " + std::to_string(*account->budget) };
        co_return HoldResult::Exhausted;
    }
    account->demand.add(tokens);
    account->largestHold = std::max(tokens, account->largestHold - account->largestHold / 8);
    Deadline exhaustedAt = Deadline::after(std::chrono::milliseconds(m_settings.exhaustedWaitMs));
    HoldResult result = co_await waitForTokens(account, tokens, exhaustedAt, deadline, reason);
    // Demand that the budget does not cover would make this daemon reserve tokens that the requests of others need.
    if (result == HoldResult::Exhausted)
        account->demand.add(-tokens);
    if (result != HoldResult::Granted)
        co_return result;
    account->held = Core::saturatingAdd(account->held, tokens);
    if (account->available() < (reserveTarget(*account) + poolTarget(*account)) / 2)
        startRefill(account);
    co_return HoldResult::Granted;
}

Core::Task<HoldResult> BudgetManager::waitForTokens(const std::shared_ptr<Account>& sharedAccount, Tokens tokens, Deadline exhaustedAt, Deadline deadline, Reason& reason)
{
    Account& account = *sharedAccount;
    if (!m_incarnation) {
        reason = { FailureKind::Unavailable, "hold tokens", "store", "this daemon has not been announced in the store yet" };
        co_return HoldResult::Unavailable;
    }
    Core::SteadyClock::time_point askedAt = Core::SteadyClock::now();
    while (account.available() < tokens) {
        bool isFresh = account.remaining && account.remainingAsOf >= askedAt;
        Tokens reachable = Core::saturatingAdd(account.available(), account.remaining.value_or(0));
        if (isFresh && reachable < tokens && (exhaustedAt.hasPassed() || deadline.hasPassed())) {
            reason = { FailureKind::Refused, "hold tokens", account.workspace, "request needs " + std::to_string(tokens) + " tokens; " + describe(account.workspace) };
            co_return HoldResult::Exhausted;
        }
        if (deadline.hasPassed()) {
            reason = account.lastFailure.value_or(Reason { FailureKind::TimedOut, "hold tokens", "store", "no answer before the deadline" });
            co_return HoldResult::Unavailable;
        }
        account.waiting.insert(tokens);
        startRefill(sharedAccount);
        if (account.isChanging && m_hooks.flush)
            m_hooks.flush(account.workspace);
        co_await account.changed.wait(std::min(deadline, Deadline::after(retryDelay)));
        account.waiting.erase(account.waiting.find(tokens));
    }
    co_return HoldResult::Granted;
}

void BudgetManager::settle(const std::string& workspace, Tokens held, Tokens used)
{
    Account& settled = account(workspace);
    settled.held = Core::saturatingSubtract(settled.held, held);
    settled.spent = Core::saturatingAdd(settled.spent, used);
    settled.changed.notifyAll();
}

void BudgetManager::startRefill(const std::shared_ptr<Account>& account)
{
    if (account->isChanging || !m_incarnation || !account->backoffUntil.hasPassed())
        return;
    account->isChanging = true;
    Core::spawn(m_executor, "refill grant", refill(account));
}

Core::Task<bool> BudgetManager::changeRow(Account& account, Tokens wanted, Tokens least, bool isUrgent, Reason& reason)
{
    GrantChange change { account.workspace, m_settings.host, *m_incarnation, (account.row ? account.row->sequence : 0) + 1, wanted, least, 0, 0 };
    bool mayBeWritten = false;
    while (!m_isStopping) {
        change.configurationVersion = account.configurationVersion;
        change.budget = account.budget.value_or(0);
        Core::SteadyClock::time_point askedAt = Core::SteadyClock::now();
        std::optional<GrantState> state
            = co_await m_hooks.submit(change, isUrgent, Deadline::after(std::chrono::milliseconds(m_settings.changeTimeoutMs)), reason);
        if (state && state->isSuperseded) {
            reason = { FailureKind::Refused, "change grant", "store", "superseded by a later process on this host" };
            co_return false;
        }
        if (state) {
            account.row = *state;
            updateRemaining(account, state->remaining, state->grantedToAll, askedAt);
            reason = {};
            co_return state->isApplied;
        }
        mayBeWritten = mayBeWritten || reason.kind == FailureKind::OutcomeUnknown;
        account.lastFailure = reason;
        account.changed.notifyAll();
        // A change that was definitely not written can be dropped; any other is sent again until its outcome is known.
        if (!mayBeWritten)
            co_return false;
        co_await Core::sleepUntil(Deadline::after(retryDelay));
    }
    co_return false;
}

// Whether the allocator transfers at most what was requested, in the direction requested.
static bool isPlausible(const TransferReply& reply, const TransferRequest& request)
{
    return reply.tokens >= std::min<Tokens>(request.wanted, 0) && reply.tokens <= std::max<Tokens>(request.wanted, 0);
}

Core::Task<std::optional<Tokens>> BudgetManager::requestTransfer(Account& account, Tokens wanted, Tokens least, Reason& reason)
{
    for (int attempts = 0; attempts < maxAllocatorAttempts; ++attempts) {
        std::optional<Core::Address> allocator = m_hooks.allocatorOf(account.workspace);
        if (!allocator)
            co_return std::nullopt;
        TransferRequest request { account.workspace, m_settings.host, *m_incarnation, 0, wanted, least };
        // If the allocator's reply was lost, its tokens are recovered only by sending it the same request again.
        bool isRepeat = account.pending && account.pending->allocator == *allocator && account.pending->request.wanted > 0 && wanted > 0;
        if (isRepeat)
            request = account.pending->request;
        else
            request.sequence = ++account.transfers;
        Core::SteadyClock::time_point askedAt = Core::SteadyClock::now();
        std::optional<TransferReply> reply
            = co_await m_hooks.transfer(*allocator, request, Deadline::after(std::chrono::milliseconds(m_settings.transferTimeoutMs)), reason);
        if (reply && !isPlausible(*reply, request)) {
            reason = { FailureKind::Invalid, "transfer tokens", allocator->text(), "the reply has " + std::to_string(reply->tokens) + " tokens for a request of " + std::to_string(request.wanted) };
            reply = std::nullopt;
        }
        if (reply) {
            account.pending = std::nullopt;
            updateRemaining(account, reply->remaining, reply->grantedToAll, askedAt);
            int64_t elapsedMs = std::chrono::duration_cast<std::chrono::milliseconds>(Core::SteadyClock::now() - askedAt).count();
            Core::logEvent(Events::tokensTransferred, "workspace=" + account.workspace + " allocator=" + allocator->text() + " wanted=" + std::to_string(wanted) + " least=" + std::to_string(least) + " tokens=" + std::to_string(reply->tokens) + " remaining=" + std::to_string(reply->remaining) + " elapsed_ms=" + std::to_string(elapsedMs));
            reason = {};
            co_return reply->tokens;
        }
        bool mayHaveTakenEffect = reason.kind != FailureKind::Unavailable && reason.kind != FailureKind::Refused;
        if (mayHaveTakenEffect)
            account.pending = PendingTransfer { *allocator, request };
        // The return may have arrived, so it must not be sent a second time.
        if (mayHaveTakenEffect && wanted < 0)
            co_return wanted;
    }
    co_return std::nullopt;
}

Core::Task<void> BudgetManager::refill(std::shared_ptr<Account> sharedAccount)
{
    Account& account = *sharedAccount;
    Reason reason;
    // The smallest useful amount lets the smallest waiting request proceed.
    Tokens least = account.waiting.empty() ? 0 : Core::saturatingSubtract(*account.waiting.begin(), account.available());
    Tokens target = Core::saturatingAdd(account.waitingTokens(), reserveTarget(account) + poolTarget(account));
    Tokens wanted = Core::saturatingSubtract(target, account.available());
    bool isUrgent = !account.waiting.empty();
    Tokens grantedBefore = account.granted();
    if (wanted > 0) {
        least = std::clamp<Tokens>(least, 0, wanted);
        std::optional<Tokens> received = co_await requestTransfer(account, wanted, least, reason);
        bool isAllocatorSilent = !received && !reason.step.empty();
        account.failedTransfers = isAllocatorSilent ? account.failedTransfers + 1 : 0;
        if (received)
            account.transferred = Core::saturatingAdd(account.transferred, *received);
        else if (!isAllocatorSilent || account.failedTransfers >= maxFailedTransfers)
            co_await changeRow(account, wanted, least, isUrgent, reason);
        // Waiting requests would otherwise ask again at once, for as long as they wait.
        if (account.granted() == grantedBefore)
            account.backoffUntil = Deadline::after(retryDelay);
    }
    account.isChanging = false;
    account.lastFailure = std::nullopt;
    if (!reason.step.empty()) {
        account.lastFailure = reason;
        uint64_t jitterMs = Core::randomBelow(static_cast<uint64_t>(m_settings.failureBackoffMs));
        account.backoffUntil = Deadline::after(std::chrono::milliseconds(m_settings.failureBackoffMs / 2 + static_cast<int64_t>(jitterMs)));
        Core::logEvent(Events::ledgerUnavailable, "workspace=" + account.workspace + " reason=\"" + reason.text() + "\" " + describe(account.workspace));
    }
    account.changed.notifyAll();
}

Core::Task<void> BudgetManager::returnTokens(std::shared_ptr<Account> sharedAccount, Tokens tokens)
{
    Account& account = *sharedAccount;
    if (account.isChanging || tokens <= 0 || !m_incarnation)
        co_return;
    account.isChanging = true;
    // The tokens are unavailable while their return is in progress.
    account.returning = tokens;
    Reason reason;
    std::optional<Tokens> returned = co_await requestTransfer(account, -tokens, 0, reason);
    if (returned)
        account.transferred = Core::saturatingAdd(account.transferred, *returned);
    else
        co_await changeRow(account, -tokens, 0, true, reason);
    account.returning = 0;
    account.isChanging = false;
    account.changed.notifyAll();
}

Core::Task<std::optional<TransferReply>> BudgetManager::transfer(TransferRequest request, Deadline deadline, Reason& reason)
{
    std::shared_ptr<Account> account = findAccount(request.workspace);
    if (!account || !account->budget || !m_incarnation || !m_isAllocating) {
        reason = { FailureKind::Refused, "transfer tokens", "daemon", "this daemon does not currently allocate tokens for workspace " + request.workspace };
        co_return std::nullopt;
    }
    // No daemon holds more than the sum of all grants, which an operator may have lowered the budget below.
    Tokens mostReturnable = std::max(*account->budget, account->grantedToAll);
    if (request.wanted < 0 && request.wanted < -std::max<Tokens>(mostReturnable, 0)) {
        reason = { FailureKind::Invalid, "transfer tokens", request.host, "returns " + std::to_string(request.wanted) + " tokens; " + describe(request.workspace) };
        co_return std::nullopt;
    }
    ServedTransfer previous = account->served[request.host];
    bool isRepeat = previous.incarnation == request.incarnation && previous.sequence >= request.sequence;
    Tokens tokens = isRepeat && previous.sequence == request.sequence ? previous.tokens : 0;
    if (!isRepeat && request.wanted < 0) {
        tokens = request.wanted;
        account->transferred = Core::saturatingSubtract(account->transferred, tokens);
        account->changed.notifyAll();
    } else if (!isRepeat) {
        Tokens least = std::max<Tokens>(request.least, 1);
        bool mayBeCovered = least <= *account->budget;
        if (mayBeCovered)
            account->pool.add(std::min(request.wanted, *account->budget));
        // The requesting daemon does the waiting for other requests to settle, so exhaustion is reported immediately.
        HoldResult result = HoldResult::Exhausted;
        if (mayBeCovered)
            result = co_await waitForTokens(account, least, Deadline::after(std::chrono::milliseconds(0)), deadline, reason);
        if (result == HoldResult::Unavailable)
            co_return std::nullopt;
        if (result == HoldResult::Granted) {
            tokens = std::min(request.wanted, account->available());
            account->transferred = Core::saturatingSubtract(account->transferred, tokens);
        }
        if (account->available() < (reserveTarget(*account) + poolTarget(*account)) / 2)
            startRefill(account);
    }
    if (!isRepeat)
        account->served[request.host] = { request.incarnation, request.sequence, tokens };
    // Tokens available to this allocator can be granted like those remaining in the ledger.
    co_return TransferReply { tokens, Core::saturatingAdd(account->remaining.value_or(0), std::max<Tokens>(0, account->available())), account->grantedToAll };
}

Core::Task<void> BudgetManager::returnAll(Deadline deadline)
{
    stopAllocating();
    // Started together, so that the ledger writer combines the changes into one write.
    bool isAnyLeft = true;
    while (isAnyLeft && !deadline.hasPassed()) {
        isAnyLeft = false;
        for (const auto& [name, account] : m_accounts) {
            isAnyLeft = isAnyLeft || account->isChanging || account->available() > 0;
            if (!account->isChanging && account->available() > 0)
                Core::spawn(m_executor, "return grant", returnTokens(account, account->available()));
        }
        co_await Core::sleepUntil(std::min(deadline, Deadline::after(retryDelay)));
    }
}

Core::Task<void> BudgetManager::maintain()
{
    while (!m_isStopping) {
        co_await Core::sleepUntil(Deadline::after(maintenanceInterval));
        // Copied because a new configuration may add accounts while tokens are returned.
        std::vector<std::shared_ptr<Account>> accounts;
        for (const auto& [name, account] : m_accounts)
            accounts.push_back(account);
        for (const std::shared_ptr<Account>& account : accounts) {
            if (!account->remaining || !account->budget || account->isChanging)
                continue;
            Tokens target = reserveTarget(*account) + poolTarget(*account);
            if (static_cast<double>(account->available()) > surplusFactor * static_cast<double>(target))
                co_await returnTokens(account, account->available() - target);
        }
    }
}

std::string BudgetManager::describe(const std::string& workspace) const
{
    auto it = m_accounts.find(workspace);
    if (it == m_accounts.end())
        return "no budget";
    const Account& account = *it->second;
    std::string text = "budget=" + (account.budget ? std::to_string(*account.budget) : "none") + " granted=" + std::to_string(account.granted())
        + " spent=" + std::to_string(account.spent) + " held=" + std::to_string(account.held);
    if (!account.remaining)
        return text + " remaining=unknown";
    int64_t ageMs = std::chrono::duration_cast<std::chrono::milliseconds>(Core::SteadyClock::now() - account.remainingAsOf).count();
    return text + " remaining=" + std::to_string(*account.remaining) + " grant_age_ms=" + std::to_string(ageMs);
}

}
