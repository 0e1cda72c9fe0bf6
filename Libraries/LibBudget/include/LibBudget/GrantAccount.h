#pragma once

#include "LibBudget/GrantPolicy.h"
#include "LibCore/Deadline.h"

namespace Budget {

// One budget's numbers at one daemon. Tokens are available when they are granted and neither returned, settled nor
// held. Settled tokens count as spent at once, while their bill reaches the ledger later; and returned tokens count
// as gone before the ledger knows of it. So the ledger's outstanding grant is never less than what can be spent here.
class GrantAccount {
public:
    using Time = Core::SteadyClock::time_point;

    Ledger::Tokens available() const { return m_isClosed ? 0 : m_granted - m_returned - m_settled - m_held; }
    Ledger::Tokens granted() const { return m_granted; }
    Ledger::Tokens returned() const { return m_returned; }
    Ledger::Tokens settled() const { return m_settled; }
    Ledger::Tokens held() const { return m_held; }

    // Sets tokens aside; false, without effect, when fewer are available.
    bool hold(Ledger::Tokens, Time now);
    // Ends a hold: the used tokens are spent, the others are available again.
    void settle(Ledger::Tokens held, Ledger::Tokens used, Time now);
    void release(Ledger::Tokens held, Time now);

    // Takes over an answer of the ledger to a Grant. Answers may arrive late and out of order.
    void applyGrantResult(const Ledger::EntryResult&);
    // Gives up all available tokens and returns the new cumulative number for a Return entry.
    Ledger::Tokens giveUpAvailable();

    // The budget counts as scarce until the time: nothing is asked for ahead and nothing is kept.
    void markScarceUntil(Time);
    bool isScarce(Time now) const { return now < m_scarceUntil; }
    // The ledger has released this holder's grant as that of a dead process; nothing can be spent any more.
    bool isClosed() const { return m_isClosed; }

    double tokensPerSecond(Time now) const;
    Time lastUsed() const { return m_lastUsed; }
    // `wanted` are the tokens of waiting requests.
    GrantNeed need(const Ledger::BudgetId&, Ledger::Tokens wanted, Time now) const;
    // Spare tokens have fallen below half of what the policy keeps ahead.
    bool runsLow(const Ledger::BudgetId&, const GrantPolicy&, double prefetchSeconds, Time now) const;
    // Other holders had unspent grants at the last answer.
    bool othersHoldGrants() const { return m_othersHoldGrants; }

private:
    void countDemand(Ledger::Tokens, Time now);

    Ledger::Tokens m_granted { 0 };
    Ledger::Tokens m_returned { 0 };
    Ledger::Tokens m_settled { 0 };
    Ledger::Tokens m_held { 0 };
    bool m_isClosed { false };
    std::optional<Ledger::Tokens> m_ungranted;
    uint32_t m_activeHolders { 0 };
    bool m_othersHoldGrants { false };
    // Exponentially decaying sum of consumed tokens and the time of its last change.
    double m_demand { 0 };
    Time m_demandAt {};
    Time m_lastUsed {};
    Time m_scarceUntil {};
};

}
