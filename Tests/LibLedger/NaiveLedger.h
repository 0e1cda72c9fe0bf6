#pragma once

#include "LibLedger/Entry.h"
#include <map>
#include <set>

// The ledger's rules written down once more in the plainest way, without expiry or checkpoints, to compare with
// ShardState. Shares no code with it.
class NaiveLedger {
public:
    struct Line {
        int64_t toppedUp { 0 };
        int64_t spent { 0 };
        int64_t reserved { 0 };
        std::map<Ledger::Holder, int64_t> granted;
        std::map<Ledger::Holder, int64_t> returned;
        std::map<Ledger::Holder, int64_t> billed;
        std::set<Ledger::Holder> closed;
        std::map<std::string, int> attemptsOfRequest;

        int64_t outstanding(const Ledger::Holder& holder) { return granted[holder] - returned[holder] - billed[holder]; }
        int64_t left();
    };

    void apply(const Ledger::Entry&);
    std::map<Ledger::BudgetId, Line>& lines() { return m_lines; }
    const std::set<std::string>& attempts() const { return m_attempts; }

private:
    struct Call {
        Ledger::BudgetId budget;
        std::string nonce;
        int64_t price;
        bool hasOutcome;
    };

    void topUp(const Ledger::TopUp&);
    void grant(const Ledger::Grant&);
    void giveBack(const Ledger::Return&);
    void bill(const Ledger::Usage&);
    void claim(const Ledger::Claim&);
    void outcome(const Ledger::Outcome&);
    void free(const Ledger::Void&);
    void close(const Ledger::CloseHolder&);

    std::map<Ledger::BudgetId, Line> m_lines;
    std::set<std::string> m_topUps;
    std::set<std::string> m_attempts;
    std::map<std::string, Call> m_calls;
    std::set<std::string> m_freedNonces;
};
