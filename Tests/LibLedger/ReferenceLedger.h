#pragma once

#include "LibLedger/Entry.h"
#include <map>
#include <set>

// Reference model of the ledger's rules for comparison with ShardState. Has no expiry and no checkpoints, and shares no
// code with ShardState.
class ReferenceLedger {
public:
    struct BudgetTotals {
        int64_t toppedUp { 0 };
        int64_t spent { 0 };
        int64_t reserved { 0 };
        std::map<Ledger::Holder, int64_t> granted;
        std::map<Ledger::Holder, int64_t> returned;
        std::map<Ledger::Holder, int64_t> billed;
        std::set<Ledger::Holder> closed;
        std::map<std::string, int> attemptsOfRequest;

        int64_t outstanding(const Ledger::Holder& holder) { return granted[holder] - returned[holder] - billed[holder]; }
        int64_t ungranted();
    };

    void apply(const Ledger::Entry&);
    std::map<Ledger::BudgetId, BudgetTotals>& budgets() { return m_budgets; }
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
    void returnTokens(const Ledger::Return&);
    void bill(const Ledger::Usage&);
    void claim(const Ledger::Claim&);
    void outcome(const Ledger::Outcome&);
    void voidClaim(const Ledger::Void&);
    void close(const Ledger::CloseHolder&);

    std::map<Ledger::BudgetId, BudgetTotals> m_budgets;
    std::set<std::string> m_topUps;
    std::set<std::string> m_attempts;
    std::map<std::string, Call> m_calls;
    std::set<std::string> m_voidedNonces;
};
