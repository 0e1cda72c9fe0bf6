#pragma once

#include "LibBudget/GrantPolicy.h"
#include "LibCore/Deadline.h"
#include "LibCore/Saturating.h"

namespace Budget {

// Balance of one budget at one daemon. Tokens are available if they are granted and not returned, settled or held.
// Settled tokens are deducted at once, before their bill reaches the ledger, and returned tokens before the ledger has
// confirmed the return. The ledger's outstanding grant is therefore never less than the tokens that can be spent here.
class GrantAccount {
public:
    using Time = Core::SteadyClock::time_point;

    Ledger::Tokens available() const { return m_isClosed ? 0 : Core::saturatingSubtract(m_granted, Core::saturatingAdd(m_returned, Core::saturatingAdd(m_settled, m_held))); }
    Ledger::Tokens granted() const { return m_granted; }
    Ledger::Tokens returned() const { return m_returned; }
    Ledger::Tokens settled() const { return m_settled; }
    Ledger::Tokens held() const { return m_held; }

    // Reserves tokens. Returns false, without effect, if fewer are available.
    bool hold(Ledger::Tokens, Time now);
    // Ends a hold. The used tokens are spent and the others become available again.
    void settle(Ledger::Tokens held, Ledger::Tokens used, Time now);
    void release(Ledger::Tokens held, Time now);

    // Applies the ledger's reply to a Grant entry. Replies may arrive late and out of order.
    void applyGrantResult(const Ledger::EntryResult&);
    // Marks all available tokens as returned, and returns the new cumulative value for a Return entry.
    Ledger::Tokens markAvailableReturned();

    // Treats the budget as scarce until the given time: nothing is prefetched, and unused tokens are returned.
    void markScarceUntil(Time);
    bool isScarce(Time now) const { return now < m_scarceUntil; }
    // Returns true if the ledger has closed this holder as that of a dead process. No tokens can be spent any more.
    bool isClosed() const { return m_isClosed; }

    double tokensPerSecond(Time now) const;
    Time lastUsed() const { return m_lastUsed; }
    // `wanted` is the sum of the tokens that waiting requests need.
    GrantPolicyInput policyInput(const Ledger::BudgetId&, Ledger::Tokens wanted, Time now) const;
    // Returns true if the policy requests more tokens than are available, and enough for a grant request.
    bool needsPrefetch(const Ledger::BudgetId&, const GrantPolicy&, double minimumPrefetchSeconds, Time now) const;
    // Returns true if other holders had unspent grants as of the ledger's last reply.
    bool othersHoldGrants() const { return m_othersHoldGrants; }

private:
    void addDemand(Ledger::Tokens, Time now);

    Ledger::Tokens m_granted { 0 };
    Ledger::Tokens m_returned { 0 };
    Ledger::Tokens m_settled { 0 };
    Ledger::Tokens m_held { 0 };
    bool m_isClosed { false };
    std::optional<Ledger::Tokens> m_ungranted;
    uint32_t m_activeHolders { 0 };
    bool m_othersHoldGrants { false };
    // Exponentially decaying sum of consumed tokens, and the time of its last update.
    double m_decayedDemand { 0 };
    Time m_demandUpdatedAt {};
    Time m_lastUsed {};
    Time m_scarceUntil {};
};

}
