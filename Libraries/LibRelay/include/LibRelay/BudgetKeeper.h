#pragma once

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
    // Time for one change of a grant.
    int64_t changeTimeoutMs { 1'500 };
};

enum class HoldResult {
    Granted,
    // The budget cannot cover the request.
    Exhausted,
    // The store did not answer, so that it is unknown whether the budget covers the request.
    Unavailable,
};

// Changes this daemon's grant; see LedgerWriter::submit.
using SubmitChange = std::function<Core::Task<std::optional<GrantState>>(GrantChange, bool isUrgent, Core::Deadline, Core::Reason&)>;

// One daemon's grants from the budgets of all workspaces. A hold covers a request at its most; settling it frees what the
// request did not use.
class BudgetKeeper {
public:
    BudgetKeeper(const boost::asio::any_io_executor&, SubmitChange, BudgetSettings);

    // No grant can be taken before the incarnation is known.
    void setIncarnation(uint64_t);

    // Takes over the budgets of a configuration.
    void adopt(const Configuration&);

    // Waits until the tokens are held, at most until the deadline. The reason says why not.
    Core::Task<HoldResult> hold(std::string workspace, Tokens, Core::Deadline, Core::Reason&);
    void settle(const std::string& workspace, Tokens held, Tokens used);

    // Returns all tokens that no request holds; to be called when no further request is accepted.
    Core::Task<void> returnAll(Core::Deadline);

    // Returns surplus while others may need it; runs until stop().
    Core::Task<void> maintain();
    void stop() { m_isStopping = true; }

    // Daemons that hold grants, as far as the ledgers show.
    size_t knownDaemons() const { return m_knownDaemons; }
    std::string describe(const std::string& workspace) const;

private:
    struct Account {
        explicit Account(const boost::asio::any_io_executor& executor)
            : changed(executor)
        {
        }
        std::string workspace;
        uint64_t configurationVersion { 0 };
        std::optional<Tokens> budget;
        // The answer to the last change and the time at which it was asked for.
        std::optional<GrantState> state;
        Core::SteadyClock::time_point stateAt {};
        // Tokens whose return is on its way.
        Tokens returning { 0 };
        Tokens spent { 0 };
        Tokens held { 0 };
        // Tokens that waiting requests need, in sum and each.
        Tokens wanted { 0 };
        std::multiset<Tokens> waiting;
        // Held tokens a second, averaged.
        double demandRate { 0 };
        Tokens largestHold { 0 };
        Core::SteadyClock::time_point demandAt {};
        bool isChanging { false };
        std::optional<Core::Reason> lastFailure;
        Core::Signal changed;

        Tokens granted() const { return state ? state->granted : 0; }
        Tokens available() const { return granted() - returning - spent - held; }
    };

    Account& account(const std::string& workspace);
    void recordDemand(Account&, Tokens);
    Tokens reserveTarget(const Account&) const;
    // This daemon's part of what all daemons may keep ahead, by its part of the grants so far.
    double shareOf(const Account&) const;
    void startRefill(const std::shared_ptr<Account>&);
    Core::Task<void> refill(std::shared_ptr<Account>);
    Core::Task<void> giveBack(std::shared_ptr<Account>, Tokens);
    // Sends one change until it is known whether it took effect.
    Core::Task<bool> change(Account&, Tokens wanted, Tokens least, bool isUrgent, Core::Reason&);

    boost::asio::any_io_executor m_executor;
    SubmitChange m_submit;
    BudgetSettings m_settings;
    std::optional<uint64_t> m_incarnation;
    std::map<std::string, std::shared_ptr<Account>> m_accounts;
    size_t m_knownDaemons { 1 };
    bool m_isStopping { false };
};

}
