#pragma once

#include "BudgetTrace.h"
#include "LibBudget/AccountSettings.h"

namespace Measure {

// Budget settings and network delays of one user organisation.
struct ReplaySettings {
    std::string name;
    Budget::GrantPolicySettings policy;
    Budget::AccountSettings account;
    std::chrono::microseconds delayInRegion { 0 };
    std::chrono::microseconds delayBetweenRegions { 35'000 };
    std::chrono::microseconds platformWrite { 0 };
    std::chrono::milliseconds requestDeadline { 30'000 };

    // How long a request may wait for tokens.
    std::chrono::milliseconds waitLimit() const;
};

// The result of replaying a trace.
struct ReplayOutcome {
    // The dispatch time of each request; no value if it was refused.
    std::vector<std::optional<Time>> startedAt;
    // The largest amount by which consumption exceeded the top-ups at any time.
    Tokens overspend { 0 };
    // Number of ledger invariant violations and refused bills.
    uint64_t violations { 0 };
};

// Replays one trace. Subclasses implement the method of sharing a budget and decide when requests start.
class BudgetReplay {
public:
    BudgetReplay(const BudgetTrace&, const ReplaySettings&);
    virtual ~BudgetReplay() = default;

    ReplayOutcome run();

protected:
    virtual void prepare() { }
    virtual void topUp(Tokens) = 0;
    // Every request must eventually be passed to serve() or refuse().
    virtual void handleArrival(size_t request) = 0;
    // Called when a served request has ended and consumed its tokens.
    virtual void handleCompletion(size_t request) = 0;
    // Called when a request has reached its wait limit.
    virtual void handleWaitTimeout(size_t request) = 0;

    void serve(size_t request);
    void refuse(size_t request) { m_isPending[request] = false; }
    bool isWaiting(size_t request) const { return m_isPending[request]; }
    void countViolation() { ++m_outcome.violations; }

    bool isPartitioned(uint32_t daemon) const;
    // One-way delay between a daemon and the shard writer or the platform.
    std::chrono::microseconds delay(uint32_t daemon) const;

    const BudgetTrace& m_trace;
    const ReplaySettings& m_settings;
    EventQueue m_events;

private:
    void scheduleTrace();

    ReplayOutcome m_outcome;
    std::vector<bool> m_isPending;
    Tokens m_toppedUp { 0 };
    Tokens m_used { 0 };
};

}
