#pragma once

#include "LibCore/Async.h"
#include "LibPlatform/ObjectStore.h"
#include "LibRelay/WorkspaceLedger.h"
#include <deque>
#include <memory>

namespace Relay {

struct BudgetSettings {
    std::string host;
    std::string incarnation;
    // Seconds of recent demand that a daemon keeps granted ahead, so that requests go on while the store is away.
    double reserveSeconds { 10 };
    // Share of the ungranted remainder that all daemons together may keep ahead.
    double reserveShare { 0.6 };
    // Time that a request waits for other requests to settle before it is refused as over budget.
    int64_t exhaustedWaitMs { 250 };
    // Time for one call to the store.
    int64_t storeTimeoutMs { 1'000 };
};

enum class HoldResult {
    Granted,
    // The budget cannot cover the request.
    Exhausted,
    // The store did not answer, so that it is unknown whether the budget covers the request.
    Unavailable,
};

// One daemon's grants from the budgets of all workspaces. A hold covers a request at its most; settling it frees what the
// request did not use.
class BudgetKeeper {
public:
    BudgetKeeper(const boost::asio::any_io_executor&, Platform::ObjectStore, BudgetSettings);

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
    uint64_t storeWrites() const { return m_storeWrites; }
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
        // The ledger as last read or written, and the store's version of it.
        std::optional<WorkspaceLedger> ledger;
        Platform::Version version { 0 };
        Core::SteadyClock::time_point readAt {};
        // This process's row, less a return that is being written.
        Tokens granted { 0 };
        Tokens spent { 0 };
        Tokens held { 0 };
        // Tokens that waiting requests need.
        Tokens wanted { 0 };
        // Held tokens a second, averaged.
        double demandRate { 0 };
        Tokens largestHold { 0 };
        Core::SteadyClock::time_point demandAt {};
        bool isWriting { false };
        std::optional<Core::Reason> lastFailure;
        Core::Signal changed;

        Tokens available() const { return granted - spent - held; }
    };

    Account& account(const std::string& workspace);
    void recordDemand(Account&, Tokens);
    Tokens reserveTarget(const Account&) const;
    // This daemon's part of what all daemons may keep ahead, by its part of the grants so far.
    double shareOf(const Account&) const;
    void startRefill(const std::shared_ptr<Account>&);
    Core::Task<void> refill(std::shared_ptr<Account>);
    // Reads the ledger; a missing one is empty.
    Core::Task<bool> read(Account&, Core::Reason&);
    // Changes this process's row by the tokens. Empty when the store did not answer.
    enum class Written {
        Done,
        // Another daemon wrote first; the ledger has been read again.
        Conflict,
        Failed,
    };
    Core::Task<Written> write(Account&, Tokens change, Core::Reason&);
    Core::Task<Written> resolve(Account&, const WorkspaceLedger& next, Core::Reason&);
    void adoptWritten(Account&, WorkspaceLedger, Platform::Version);
    Core::Task<void> giveBack(std::shared_ptr<Account>, Tokens);

    boost::asio::any_io_executor m_executor;
    Platform::ObjectStore m_store;
    BudgetSettings m_settings;
    std::map<std::string, std::shared_ptr<Account>> m_accounts;
    size_t m_knownDaemons { 1 };
    uint64_t m_storeWrites { 0 };
    bool m_isStopping { false };
};

}
