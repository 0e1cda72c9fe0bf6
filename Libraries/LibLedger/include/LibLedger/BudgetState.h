#pragma once

#include "LibLedger/Entry.h"
#include <map>
#include <set>

namespace Ledger {

// Cumulative token counts of one holder in one budget.
struct HolderState {
    Tokens granted { 0 };
    Tokens returned { 0 };
    Tokens billed { 0 };
    // A closed holder gets no further grants.
    bool isClosed { false };
    // Wall-clock time of the last commit that changed the holder, in milliseconds since 1970.
    int64_t changedAtMs { 0 };

    Tokens outstanding() const { return granted - returned - billed; }
    bool operator==(const HolderState&) const = default;
};

// State of one budget in the ledger.
struct BudgetState {
    Tokens toppedUp { 0 };
    Tokens spent { 0 };
    // Prices of claims without an outcome.
    Tokens reserved { 0 };
    // Prices of claims that expired without an outcome. The calls may have run, so the tokens stay unavailable.
    Tokens expiredClaimTokens { 0 };
    uint64_t bills { 0 };
    uint64_t requestsWithSeveralAttempts { 0 };
    std::set<std::string> topUpIds;
    std::map<Holder, HolderState> holders;

    Tokens outstanding() const;
    // Number of holders with an unspent grant.
    uint32_t activeHolders() const;
    // Tokens that can still be granted or reserved. Never negative.
    Tokens ungranted() const { return toppedUp - spent - reserved - expiredClaimTokens - outstanding(); }
    bool operator==(const BudgetState&) const = default;
};

}
