#pragma once

#include "BudgetReplay.h"
#include "LibBudget/GrantAccount.h"
#include "LibLedger/ShardState.h"
#include "LibLedger/WriteRateLimiter.h"
#include "LibLedger/WriterSettings.h"
#include <deque>
#include <memory>
#include <random>

namespace Measure {

// Demand-driven grants, using the production ShardState, GrantAccount and GrantPolicy. The queueing and messages of
// Accounts and ShardWriter are simulated as delayed events. Messages to or from a partitioned daemon are lost.
class EscrowReplay : public BudgetReplay {
public:
    EscrowReplay(const BudgetTrace&, const ReplaySettings&, uint64_t seed);

private:
    using Reply = std::function<void(const Ledger::EntryResult&)>;

    struct Daemon {
        uint32_t number { 0 };
        Ledger::Holder holder;
        Budget::GrantAccount account;
        std::deque<size_t> waiting;
        std::vector<Ledger::Entry> bills;
        bool isGrantInFlight { false };
        bool isReturnInFlight { false };
        bool isRetryScheduled { false };
        bool isExhausted { false };
        Tokens availableAfterGrant { 0 };
        Time grantResultAt;
        Tokens confirmedReturned { 0 };
        std::chrono::milliseconds retryDelay { 0 };
    };

    struct Message {
        Ledger::Entry entry;
        uint32_t daemon { 0 };
        Reply reply;
    };

    void prepare() override;
    void topUp(Tokens) override;
    void handleArrival(size_t request) override;
    void handleCompletion(size_t request) override;
    void handleWaitTimeout(size_t request) override;

    // Daemon.
    void serveWaiting(Daemon&);
    void startGrant(Daemon&);
    void handleGrantResult(Daemon&, Tokens target, const Ledger::EntryResult&);
    void scheduleRetry(Daemon&);
    bool isUnservable(const Daemon&, size_t request) const;
    void startReturn(Daemon&);
    void sendReturn(Daemon&);
    void handleReleasedTokens(Daemon&);
    void recall(Daemon&);
    void maintain(Daemon&);
    void flushBills(Daemon&);

    // Network and shard writer.
    void send(uint32_t daemon, std::vector<Ledger::Entry>, const Reply&, const std::function<void()>& lost);
    void scheduleCommit();
    void commit();
    void requestRecalls(const Message&, const Ledger::EntryResult&);

    std::mt19937_64 m_random;
    Budget::GrantPolicy m_policy;
    Ledger::BudgetId m_budget { "workspace", "budget" };
    std::vector<std::unique_ptr<Daemon>> m_daemons;

    Ledger::ShardState m_ledger;
    Ledger::WriterSettings m_writer;
    Ledger::WriteRateLimiter m_pacer;
    std::vector<Message> m_queue;
    bool m_isCommitting { false };
    bool m_isUrgentScheduled { false };
    uint64_t m_pendingCommitNumber { 0 };
    uint64_t m_lastCommitNumber { 0 };
};

}
