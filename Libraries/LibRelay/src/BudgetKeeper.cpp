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
// A ledger read longer ago is read again before a request is refused for it.
static constexpr std::chrono::milliseconds freshness(100);
static constexpr std::chrono::milliseconds retryPause(60);
static constexpr std::chrono::milliseconds maintenancePause(1'000);
// Below this share of the budget, grants that are not used go back at once.
static constexpr double scarceShare = 0.25;

static std::string nameOf(const std::string& workspace)
{
    return "relay-ledgers/" + workspace;
}

BudgetKeeper::BudgetKeeper(const boost::asio::any_io_executor& executor, Platform::ObjectStore store, BudgetSettings settings)
    : m_executor(executor)
    , m_store(std::move(store))
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

void BudgetKeeper::adopt(const Configuration& configuration)
{
    for (const auto& [name, workspace] : configuration.workspaces()) {
        Account& changed = account(name);
        Tokens before = changed.budget.value_or(0);
        changed.budget = workspace.budget;
        changed.configurationVersion = configuration.version();
        // A lower budget may be below what is granted already: unused grants go back before they are spent.
        if (changed.budget && *changed.budget < before && changed.available() > 0 && !changed.isWriting)
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
    if (!account.ledger)
        return 0;
    double most = static_cast<double>(account.ledger->remaining()) * m_settings.reserveShare * shareOf(account);
    double elapsed = std::chrono::duration<double>(Core::SteadyClock::now() - account.demandAt).count();
    double rate = account.demandRate * std::exp(-std::min(elapsed, 60.0) / demandSeconds);
    double wished = std::max(rate * m_settings.reserveSeconds, elapsed < demandSeconds ? static_cast<double>(account.largestHold) : 0.0);
    return std::max<Tokens>(0, static_cast<Tokens>(std::min(wished, most)));
}

double BudgetKeeper::shareOf(const Account& account) const
{
    double equalShare = 1.0 / static_cast<double>(std::max(m_knownDaemons, fewestDaemons));
    Tokens granted = 0;
    for (const auto& [host, row] : account.ledger->rows)
        granted += row.granted;
    const LedgerRow* own = account.ledger->findRow(m_settings.host, m_settings.incarnation);
    if (!own || granted <= 0)
        return equalShare;
    double ownShare = static_cast<double>(own->granted) / static_cast<double>(granted);
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
    Deadline exhaustedAt = Deadline::after(std::chrono::milliseconds(m_settings.exhaustedWaitMs));
    Core::SteadyClock::time_point askedAt = Core::SteadyClock::now();
    while (account.available() < tokens) {
        bool isFresh = account.ledger && account.readAt >= askedAt;
        Tokens reachable = account.ledger ? account.available() + account.ledger->remaining() : 0;
        if (isFresh && reachable < tokens && exhaustedAt.hasPassed()) {
            reason = { FailureKind::Refused, "hold tokens", workspace, "needs " + std::to_string(tokens) + " tokens; " + describe(workspace) };
            co_return HoldResult::Exhausted;
        }
        if (deadline.hasPassed()) {
            reason = account.lastFailure.value_or(Reason { FailureKind::TimedOut, "hold tokens", "store", "no answer in time" });
            co_return HoldResult::Unavailable;
        }
        account.wanted += tokens;
        startRefill(held);
        co_await account.changed.wait(std::min(deadline, Deadline::after(retryPause)));
        account.wanted -= tokens;
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
    if (account->isWriting)
        return;
    account->isWriting = true;
    Core::spawn(m_executor, "refill grant", refill(account));
}

Core::Task<void> BudgetKeeper::refill(std::shared_ptr<Account> held)
{
    Account& account = *held;
    Reason reason;
    bool isRead = false;
    for (int tries = 0; tries < 8; ++tries) {
        // The first look at a ledger, or one that seems too small for the need, must not rest on an old copy.
        bool isOld = !account.ledger || Core::SteadyClock::now() - account.readAt > freshness;
        Tokens need = std::max<Tokens>(0, account.wanted - account.available());
        bool seemsExhausted = account.ledger && account.ledger->remaining() < need;
        if (!account.ledger || (seemsExhausted && isOld) || (!isRead && tries > 0)) {
            if (!co_await read(account, reason))
                break;
            isRead = true;
            continue;
        }
        Tokens target = std::max(account.wanted, Tokens { 0 }) + reserveTarget(account) - account.available();
        Tokens change = std::min(target, account.ledger->remaining());
        if (change <= 0 || (need > 0 && change < need && account.ledger->remaining() < need))
            break;
        Written written = co_await write(account, change, reason);
        if (written == Written::Done)
            break;
        if (written == Written::Failed)
            break;
    }
    account.isWriting = false;
    account.lastFailure = std::nullopt;
    if (!reason.step.empty()) {
        account.lastFailure = reason;
        Core::logEvent(Events::ledgerUnavailable, "workspace=" + account.workspace + " reason=\"" + reason.text() + "\" " + describe(account.workspace));
    }
    account.changed.notifyAll();
}

Core::Task<bool> BudgetKeeper::read(Account& account, Reason& reason)
{
    Deadline deadline = Deadline::after(std::chrono::milliseconds(m_settings.storeTimeoutMs));
    Core::SteadyClock::time_point askedAt = Core::SteadyClock::now();
    std::optional<Platform::Object> object = co_await m_store.get(nameOf(account.workspace), deadline, reason);
    WorkspaceLedger ledger;
    if (object) {
        std::optional<WorkspaceLedger> decoded = decodeLedger(object->value, reason);
        if (!decoded)
            co_return false;
        ledger = std::move(*decoded);
    } else if (reason.kind != FailureKind::NotFound) {
        co_return false;
    }
    reason = {};
    if (account.budget)
        ledger.adoptBudget(account.configurationVersion, *account.budget);
    account.ledger = std::move(ledger);
    account.version = object ? object->version : 0;
    account.readAt = askedAt;
    m_knownDaemons = std::max(m_knownDaemons, account.ledger->rows.size());
    co_return true;
}

void BudgetKeeper::adoptWritten(Account& account, WorkspaceLedger ledger, Platform::Version version)
{
    account.granted = ledger.rowOf(m_settings.host, m_settings.incarnation).granted;
    account.ledger = std::move(ledger);
    account.version = version;
    account.readAt = Core::SteadyClock::now();
    m_knownDaemons = std::max(m_knownDaemons, account.ledger->rows.size());
}

Core::Task<BudgetKeeper::Written> BudgetKeeper::write(Account& account, Tokens change, Reason& reason)
{
    WorkspaceLedger next = *account.ledger;
    LedgerRow& row = next.rowOf(m_settings.host, m_settings.incarnation);
    row.granted += change;
    ++row.sequence;
    Deadline deadline = Deadline::after(std::chrono::milliseconds(m_settings.storeTimeoutMs));
    ++m_storeWrites;
    std::optional<Platform::Version> version
        = co_await m_store.put(nameOf(account.workspace), encodeLedger(next), account.version, deadline, reason);
    if (version) {
        reason = {};
        adoptWritten(account, std::move(next), *version);
        Core::logEvent(Events::grantChanged, "workspace=" + account.workspace + " change=" + std::to_string(change) + " " + describe(account.workspace));
        co_return Written::Done;
    }
    if (reason.kind == FailureKind::Conflict) {
        if (!co_await read(account, reason))
            co_return Written::Failed;
        co_return Written::Conflict;
    }
    if (reason.kind == FailureKind::OutcomeUnknown || reason.kind == FailureKind::TimedOut)
        co_return co_await resolve(account, next, reason);
    co_return Written::Failed;
}

// A write without an answer is pending until the object shows it or has moved past the version that it expects.
Core::Task<BudgetKeeper::Written> BudgetKeeper::resolve(Account& account, const WorkspaceLedger& next, Reason& reason)
{
    uint64_t sequence = next.findRow(m_settings.host, m_settings.incarnation)->sequence;
    Platform::Version expected = account.version;
    while (!m_isStopping) {
        Reason unknown = reason;
        if (co_await read(account, reason)) {
            const LedgerRow* row = account.ledger->findRow(m_settings.host, m_settings.incarnation);
            if (row && row->sequence == sequence) {
                adoptWritten(account, *account.ledger, account.version);
                co_return Written::Done;
            }
            if (account.version != expected)
                co_return Written::Conflict;
            // Writing the same content again either takes effect or meets the first write's effect.
            Deadline deadline = Deadline::after(std::chrono::milliseconds(m_settings.storeTimeoutMs));
            ++m_storeWrites;
            std::optional<Platform::Version> version
                = co_await m_store.put(nameOf(account.workspace), encodeLedger(next), expected, deadline, reason);
            if (version) {
                reason = {};
                adoptWritten(account, next, *version);
                co_return Written::Done;
            }
        }
        account.changed.notifyAll();
        co_await Core::sleepUntil(Deadline::after(retryPause));
    }
    co_return Written::Failed;
}

Core::Task<void> BudgetKeeper::giveBack(std::shared_ptr<Account> held, Tokens tokens)
{
    Account& account = *held;
    if (account.isWriting || tokens <= 0)
        co_return;
    account.isWriting = true;
    Reason reason;
    // The tokens are not available while their return is being written, whatever its outcome.
    account.granted -= tokens;
    Tokens before = account.granted + tokens;
    Written written = Written::Conflict;
    for (int tries = 0; tries < 4 && written == Written::Conflict; ++tries) {
        if (!account.ledger && !co_await read(account, reason)) {
            written = Written::Failed;
            break;
        }
        written = co_await write(account, -tokens, reason);
    }
    if (written != Written::Done)
        account.granted = before;
    account.isWriting = false;
    account.changed.notifyAll();
}

Core::Task<void> BudgetKeeper::returnAll(Deadline deadline)
{
    for (const auto& [name, account] : m_accounts) {
        while (account->isWriting && !deadline.hasPassed())
            co_await account->changed.wait(std::min(deadline, Deadline::after(retryPause)));
        if (deadline.hasPassed())
            co_return;
        co_await giveBack(account, account->available());
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
            if (!account->ledger || !account->budget || account->isWriting)
                continue;
            bool isScarce = static_cast<double>(account->ledger->remaining()) < scarceShare * static_cast<double>(*account->budget);
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
    std::string text = "budget=" + (account.budget ? std::to_string(*account.budget) : "none") + " granted=" + std::to_string(account.granted)
        + " spent=" + std::to_string(account.spent) + " held=" + std::to_string(account.held);
    if (!account.ledger)
        return text + " ledger=unread";
    int64_t ageMs = std::chrono::duration_cast<std::chrono::milliseconds>(Core::SteadyClock::now() - account.readAt).count();
    return text + " remaining=" + std::to_string(account.ledger->remaining()) + " ledger_version=" + std::to_string(account.version) + " ledger_age_ms=" + std::to_string(ageMs);
}

}
