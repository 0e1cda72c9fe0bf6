#pragma once

#include "LibCore/Address.h"
#include "LibCore/Async.h"
#include "LibRelay/WorkspaceLedger.h"
#include <functional>
#include <memory>
#include <set>

namespace Relay {

struct BudgetSettings {
    std::string host;
    // Seconds of recent demand that a daemon keeps granted ahead, so that requests go on while the store is away.
    double reserveSeconds { 10 };
    // Share of the ungranted remainder that all daemons together may keep ahead.
    double reserveShare { 0.6 };
    // Time that a request waits for other requests to settle before it is refused as over budget.
    int64_t exhaustedWaitMs { 250 };
    // Seconds of the other daemons' demand that an allocator keeps granted ahead.
    double poolSeconds { 2 };
    // Time for one change of a grant, and for another daemon to hand over tokens.
    int64_t changeTimeoutMs { 1'500 };
    int64_t transferTimeoutMs { 350 };
    // Pause after a change that failed.
    int64_t failureBackoffMs { 250 };
};

enum class HoldResult {
    Granted,
    // The budget cannot cover the request.
    Exhausted,
    // The store did not answer, so that it is unknown whether the budget covers the request.
    Unavailable,
};

struct BudgetHooks {
    // Changes this daemon's row in the ledger; see LedgerWriter::submit.
    std::function<Core::Task<std::optional<GrantState>>(GrantChange, bool isUrgent, Core::Deadline, Core::Reason&)> submit;
    // Ends the gathering of changes that were not urgent: a request waits for one of them. May be empty.
    std::function<void(const std::string& workspace)> flush;
    // The daemon that hands out the workspace's tokens; none: this one takes them from the ledger.
    std::function<std::optional<Core::Address>(const std::string& workspace)> allocatorOf;
    // Asks it. Unavailable: nothing was sent.
    std::function<Core::Task<std::optional<TransferReply>>(Core::Address, TransferRequest, Core::Deadline, Core::Reason&)> transfer;
};

// One daemon's grants from the budgets of all workspaces. A hold covers a request at its most; settling it frees what the
// request did not use.
class BudgetManager {
public:
    BudgetManager(const boost::asio::any_io_executor&, BudgetHooks, BudgetSettings);

    // No grant can be taken before the incarnation is known.
    void setIncarnation(uint64_t);

    // Takes over the budgets of a configuration.
    void adopt(const Configuration&);

    // Waits until the tokens are held, at most until the deadline. The reason says why not.
    Core::Task<HoldResult> hold(std::string workspace, Tokens, Core::Deadline, Core::Reason&);
    void settle(const std::string& workspace, Tokens held, Tokens used);

    // Hands no tokens to other daemons any more, so that they turn to another allocator before this one is gone.
    void stopAllocating() { m_isAllocating = false; }

    // Returns all tokens that no request holds; to be called when no further request is accepted.
    Core::Task<void> returnAll(Core::Deadline);

    // Returns surplus while others may need it; runs until stop().
    Core::Task<void> maintain();
    void stop() { m_isStopping = true; }

    // Hands tokens of this daemon's grant to another daemon, or takes them back.
    Core::Task<std::optional<TransferReply>> transfer(TransferRequest, Core::Deadline, Core::Reason&);

    // Daemons that share the budgets.
    void setDaemons(size_t daemons) { m_daemons = daemons; }
    size_t daemons() const { return m_daemons; }
    std::string describe(const std::string& workspace) const;

private:
    // Average of a number of tokens a second.
    class Rate {
    public:
        void add(Tokens);
        double perSecond() const;

    private:
        double m_rate { 0 };
        Core::SteadyClock::time_point m_updatedAt {};
    };

    // A transfer whose answer was lost.
    struct PendingTransfer {
        Core::Address allocator;
        TransferRequest request;
    };

    // The last transfer to a daemon.
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
        // This process's row after its last change.
        std::optional<GrantState> row;
        // What is left of the budget and what all daemons hold, as last heard, and when that was asked for.
        std::optional<Tokens> remaining;
        Tokens grantedToAll { 0 };
        Core::SteadyClock::time_point remainingAsOf {};
        // Tokens that other daemons handed to this one, less those handed to others.
        Tokens transferred { 0 };
        // Tokens whose return is on its way.
        Tokens returning { 0 };
        Tokens spent { 0 };
        Tokens held { 0 };
        // Tokens that waiting requests need, in sum and each.
        Tokens waitingTokens { 0 };
        std::multiset<Tokens> waiting;
        Rate demand;
        // Demand of other daemons.
        Rate pool;
        Tokens largestHold { 0 };
        bool isChanging { false };
        Core::Deadline backoffUntil { Core::SteadyClock::time_point {} };
        uint64_t transfers { 0 };
        std::optional<PendingTransfer> pending;
        std::map<std::string, ServedTransfer> served;
        std::optional<Core::Reason> lastFailure;
        Core::Signal changed;

        Tokens granted() const { return (row ? row->granted : 0) + transferred; }
        Tokens available() const { return granted() - returning - spent - held; }
    };

    Account& account(const std::string& workspace);
    // Null for a workspace without an account.
    std::shared_ptr<Account> findAccount(const std::string& workspace) const;
    // Waits until the tokens are available. Until exhaustedAt a remainder that is too small may still grow.
    Core::Task<HoldResult> waitForTokens(const std::shared_ptr<Account>&, Tokens, Core::Deadline exhaustedAt, Core::Deadline, Core::Reason&);
    Tokens reserveTarget(const Account&) const;
    Tokens poolTarget(const Account&) const;
    // This daemon's part of what all daemons may keep ahead, by its part of the grants so far.
    double shareOf(const Account&) const;
    void updateRemaining(Account&, Tokens remaining, Tokens grantedToAll, Core::SteadyClock::time_point askedAt);
    void startRefill(const std::shared_ptr<Account>&);
    Core::Task<void> refill(std::shared_ptr<Account>);
    Core::Task<void> returnTokens(std::shared_ptr<Account>, Tokens);
    // Changes the row until it is known whether the change took effect.
    Core::Task<bool> changeRow(Account&, Tokens wanted, Tokens least, bool isUrgent, Core::Reason&);
    // Asks the allocator for tokens, or gives them back; empty when it did not answer or there is no other daemon to ask.
    Core::Task<std::optional<Tokens>> requestTransfer(Account&, Tokens wanted, Tokens least, Core::Reason&);

    boost::asio::any_io_executor m_executor;
    BudgetHooks m_hooks;
    BudgetSettings m_settings;
    std::optional<uint64_t> m_incarnation;
    std::map<std::string, std::shared_ptr<Account>> m_accounts;
    size_t m_daemons { 1 };
    bool m_isAllocating { true };
    bool m_isStopping { false };
};

}
