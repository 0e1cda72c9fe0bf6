#pragma once

#include "LibCore/Address.h"
#include "LibCore/Async.h"
#include "LibCore/Saturating.h"
#include "LibRelay/WorkspaceLedger.h"
#include <functional>
#include <memory>
#include <numeric>
#include <set>

namespace Relay {

struct BudgetSettings {
    std::string host;
    // Seconds of recent demand that a daemon keeps as reserve, so that it can serve requests during a store outage.
    double reserveSeconds { 10 };
    // Share of the ungranted remainder that the reserves of all daemons may take up together.
    double reserveShare { 0.6 };
    // How long a request waits for others to settle before it is refused as over budget.
    int64_t exhaustedWaitMs { 250 };
    // Seconds of the other daemons' demand that an allocator keeps in its pool.
    double poolSeconds { 2 };
    // Timeouts of one grant change in the ledger and of one transfer from another daemon.
    int64_t changeTimeoutMs { 1'500 };
    int64_t transferTimeoutMs { 350 };
    // Delay before the next refill after a failed one.
    int64_t failureBackoffMs { 250 };
};

enum class HoldResult {
    Granted,
    // The remaining budget does not cover the request.
    Exhausted,
    // The store did not answer, so it is unknown whether the budget covers the request.
    Unavailable,
};

struct BudgetHooks {
    // Applies a change to this daemon's row in the ledger; see LedgerWriter::submit.
    std::function<Core::Task<std::optional<GrantState>>(GrantChange, bool isUrgent, Core::Deadline, Core::Reason&)> submit;
    // Ends the batch window of non-urgent changes because a request now waits for one of them. May be empty.
    std::function<void(const std::string& workspace)> flush;
    // The daemon that allocates the workspace's tokens; none if this daemon takes them from the ledger itself.
    std::function<std::optional<Core::Address>(const std::string& workspace)> allocatorOf;
    // Requests a transfer from the allocator. A failure of kind Unavailable means that nothing was sent.
    std::function<Core::Task<std::optional<TransferReply>>(Core::Address, TransferRequest, Core::Deadline, Core::Reason&)> transfer;
};

// Manages one daemon's grants from the budgets of all workspaces. A hold reserves the most tokens that a request may use;
// settling it releases the unused ones.
class BudgetManager {
public:
    BudgetManager(const boost::asio::any_io_executor&, BudgetHooks, BudgetSettings);

    // Must be called before the first grant can be taken.
    void setIncarnation(uint64_t);

    // Applies the budgets of a configuration.
    void adopt(const Configuration&);

    // Waits until the tokens are held, at most until the deadline. Sets the reason on failure. A negative amount is refused.
    Core::Task<HoldResult> hold(std::string workspace, Tokens, Core::Deadline, Core::Reason&);
    void settle(const std::string& workspace, Tokens held, Tokens used);

    // Refuses transfers from now on, so that other daemons switch to another allocator before this one exits.
    void stopAllocating() { m_isAllocating = false; }

    // Keeps no reserve from now on; maintain() returns what requests leave over.
    void stopReserving() { setReserving(false); }
    void setReserving(bool isReserving) { m_isReserving = isReserving; }

    // Returns all tokens that no request holds. Call this once no further requests are accepted.
    Core::Task<void> returnAll(Core::Deadline);

    // Periodically returns surplus tokens, which other daemons may need; runs until stop().
    Core::Task<void> maintain();
    void stop() { m_isStopping = true; }

    // Transfers tokens of this daemon's grant to another daemon, or takes them back. Fails with Invalid if the other daemon returns
    // more than the whole budget.
    Core::Task<std::optional<TransferReply>> transfer(TransferRequest, Core::Deadline, Core::Reason&);

    // Number of daemons that share the budgets.
    void setDaemons(size_t daemons) { m_daemons = daemons; }
    size_t daemons() const { return m_daemons; }
    std::string describe(const std::string& workspace) const;

private:
    // Exponentially decaying average of tokens per second.
    class Rate {
    public:
        // A negative amount takes back one that was added before.
        void add(Tokens);
        double perSecond() const;

    private:
        double m_rate { 0 };
        Core::SteadyClock::time_point m_updatedAt {};
    };

    // A transfer whose reply was lost.
    struct PendingTransfer {
        Core::Address allocator;
        TransferRequest request;
    };

    // The last transfer served to a daemon, kept to answer a repeated request.
    struct ServedTransfer {
        uint64_t incarnation { 0 };
        uint64_t sequence { 0 };
        Tokens tokens { 0 };
    };

    struct Account {
        explicit Account(const boost::asio::any_io_executor& executor)
            : changed(executor)
        {
        }
        std::string workspace;
        uint64_t configurationVersion { 0 };
        std::optional<Tokens> budget;
        // This process's ledger row after its last change.
        std::optional<GrantState> row;
        // Ungranted tokens and the sum of all grants as last reported, and the time of the request for that report.
        std::optional<Tokens> remaining;
        Tokens grantedToAll { 0 };
        Core::SteadyClock::time_point remainingAsOf {};
        // Tokens received from other daemons less those transferred to them.
        Tokens transferred { 0 };
        // Tokens whose return is in progress.
        Tokens returning { 0 };
        Tokens spent { 0 };
        Tokens held { 0 };
        // The amounts that waiting requests need.
        std::multiset<Tokens> waiting;
        Rate demand;
        // Demand of other daemons.
        Rate pool;
        Tokens largestHold { 0 };
        bool isChanging { false };
        // Refills in a row for which no allocator answered.
        int failedTransfers { 0 };
        Core::Deadline backoffUntil { Core::SteadyClock::time_point {} };
        uint64_t transfers { 0 };
        std::optional<PendingTransfer> pending;
        std::map<std::string, ServedTransfer> served;
        std::optional<Core::Reason> lastFailure;
        Core::Signal changed;

        Tokens granted() const { return Core::saturatingAdd(row ? row->granted : 0, transferred); }
        Tokens available() const { return Core::saturatingSubtract(granted(), Core::saturatingAdd(returning, Core::saturatingAdd(spent, held))); }
        Tokens waitingTokens() const { return std::accumulate(waiting.begin(), waiting.end(), Tokens { 0 }, Core::saturatingAdd<Tokens>); }
    };

    Account& account(const std::string& workspace);
    // Null for a workspace without an account.
    std::shared_ptr<Account> findAccount(const std::string& workspace) const;
    // Waits until the tokens are available. Before exhaustedAt, a remainder that is too small does not fail the request,
    // because other requests may settle.
    Core::Task<HoldResult> waitForTokens(const std::shared_ptr<Account>&, Tokens, Core::Deadline exhaustedAt, Core::Deadline, Core::Reason&);
    Tokens reserveTarget(const Account&) const;
    Tokens poolTarget(const Account&) const;
    // 1 while much of the budget remains, 0 near its end.
    double reserveScale(const Account&) const;
    // This daemon's share of the total reserve, derived from its share of the grants so far.
    double shareOf(const Account&) const;
    void updateRemaining(Account&, Tokens remaining, Tokens grantedToAll, Core::SteadyClock::time_point askedAt);
    void startRefill(const std::shared_ptr<Account>&);
    Core::Task<void> refill(std::shared_ptr<Account>);
    Core::Task<void> returnTokens(std::shared_ptr<Account>, Tokens);
    // Submits the change repeatedly until it is known whether it took effect.
    Core::Task<bool> changeRow(Account&, Tokens wanted, Tokens least, bool isUrgent, Core::Reason&);
    // Requests tokens from the allocator, or returns them to it. Empty without a reason if this daemon is the allocator, and
    // with one if no allocator answered.
    Core::Task<std::optional<Tokens>> requestTransfer(Account&, Tokens wanted, Tokens least, Core::Reason&);

    boost::asio::any_io_executor m_executor;
    BudgetHooks m_hooks;
    BudgetSettings m_settings;
    std::optional<uint64_t> m_incarnation;
    std::map<std::string, std::shared_ptr<Account>> m_accounts;
    size_t m_daemons { 1 };
    bool m_isAllocating { true };
    bool m_isReserving { true };
    bool m_isStopping { false };
};

}
