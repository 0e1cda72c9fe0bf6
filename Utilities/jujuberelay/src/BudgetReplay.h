#pragma once

#include "BudgetTrace.h"
#include "LibBudget/AccountSettings.h"

namespace Measure {

// The settings of one user organisation.
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

// What became of the requests of a trace.
struct ReplayOutcome {
    // When each request was dispatched; empty when it was refused.
    std::vector<std::optional<Time>> startedAt;
    // Consumption beyond the top-ups, at the worst moment.
    Tokens overspend { 0 };
    // Broken invariants of the ledger and refused bills.
    uint64_t violations { 0 };
};

// Replays one trace under one way of sharing a budget. Subclasses decide when requests start.
class BudgetReplay {
public:
    BudgetReplay(const BudgetTrace&, const ReplaySettings&);
    virtual ~BudgetReplay() = default;

    ReplayOutcome run();

protected:
    virtual void prepare() { }
    virtual void topUp(Tokens) = 0;
    // A request has arrived; ends with serve or refuse.
    virtual void arrive(size_t request) = 0;
    // A served request has ended and consumed its tokens.
    virtual void finish(size_t request) = 0;
    // The request has waited for as long as it may.
    virtual void waitEnded(size_t request) = 0;

    void serve(size_t request);
    void refuse(size_t request) { m_isOpen[request] = false; }
    bool isWaiting(size_t request) const { return m_isOpen[request]; }
    void countViolation() { ++m_outcome.violations; }

    bool isCutOff(uint32_t daemon) const;
    // One-way delay between a daemon and the shard writer or the platform.
    std::chrono::microseconds delay(uint32_t daemon) const;

    const BudgetTrace& m_trace;
    const ReplaySettings& m_settings;
    EventQueue m_events;

private:
    void scheduleTrace();

    ReplayOutcome m_outcome;
    std::vector<bool> m_isOpen;
    Tokens m_toppedUp { 0 };
    Tokens m_used { 0 };
};

}
