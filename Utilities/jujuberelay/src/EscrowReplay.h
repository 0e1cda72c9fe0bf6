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

// Grants that follow demand, with the real ShardState, GrantAccount and GrantPolicy. The waiting and the messages of
// Accounts and ShardWriter are replayed as events with delays; a message to or from a daemon that is cut off is lost.
class EscrowReplay : public BudgetReplay {
public:
    EscrowReplay(const BudgetTrace&, const ReplaySettings&, uint64_t seed);

private:
    using Reply = std::function<void(const Ledger::EntryResult&)>;

    struct Daemon {
        uint32_t number { 0 };
        Ledger::Holder holder;
        Budget::GrantAccount numbers;
        std::deque<size_t> waiting;
        std::vector<Ledger::Entry> bills;
        bool isGrantInFlight { false };
        bool isReturnInFlight { false };
        bool isRetryScheduled { false };
        bool isExhausted { false };
        Tokens foundTokens { 0 };
        Time answeredAt;
        Tokens confirmedReturned { 0 };
        std::chrono::milliseconds retry { 0 };
    };

    struct Message {
        Ledger::Entry entry;
        uint32_t daemon { 0 };
        Reply reply;
    };

    void prepare() override;
    void topUp(Tokens) override;
    void arrive(size_t request) override;
    void finish(size_t request) override;
    void waitEnded(size_t request) override;

    // The daemon's side.
    void serveWaiting(Daemon&);
    void startGrant(Daemon&);
    void grantAnswered(Daemon&, Tokens target, const Ledger::EntryResult&);
    void scheduleRetry(Daemon&);
    bool isHopeless(const Daemon&, size_t request) const;
    void startReturn(Daemon&);
    void sendReturn(Daemon&);
    void tokensFreed(Daemon&);
    void recall(Daemon&);
    void maintain(Daemon&);
    void flushBills(Daemon&);

    // The network and the shard writer's side.
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
    uint64_t m_scheduledCommit { 0 };
    uint64_t m_scheduled { 0 };
};

}
