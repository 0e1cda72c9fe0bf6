#pragma once

#include "LibLedger/Entry.h"
#include <functional>
#include <optional>

namespace Budget {

// State of a budget at a daemon when it requests a grant.
struct GrantPolicyInput {
    Ledger::BudgetId budget;
    // Tokens that waiting requests need beyond the available ones.
    Ledger::Tokens shortfall { 0 };
    // Available tokens beyond those that waiting requests need.
    Ledger::Tokens spare { 0 };
    // Recent rate of consumption at this daemon.
    double tokensPerSecond { 0 };
    // Ungranted tokens of the budget as of the ledger's last reply; empty before the first reply.
    std::optional<Ledger::Tokens> ungranted;
    // Number of holders with unspent grants as of the ledger's last reply.
    uint32_t activeHolders { 0 };
    // A grant was recalled or reduced recently, so other daemons may need tokens.
    bool isScarce { false };
};

// Returns how many tokens to request beyond the current grant.
using GrantPolicy = std::function<Ledger::Tokens(const GrantPolicyInput&)>;

struct GrantPolicySettings {
    // Number of seconds of recent consumption that a daemon prefetches. They bridge a partition from the ledger. When a
    // budget becomes scarce, recalls return them.
    double prefetchHorizonSeconds { 60 };
    // Fraction of the ungranted tokens that all holders together may prefetch.
    double maximumPrefetchShare { 0.75 };
    bool operator==(const GrantPolicySettings&) const = default;
};

// Requests the shortfall, and prefetches tokens for `prefetchHorizonSeconds` of recent consumption less the spare
// tokens, limited to `maximumPrefetchShare` of the ungranted tokens divided by the number of holders. Nothing is
// prefetched for a scarce budget, or before the ledger's first reply.
GrantPolicy defaultGrantPolicy(GrantPolicySettings);

}
