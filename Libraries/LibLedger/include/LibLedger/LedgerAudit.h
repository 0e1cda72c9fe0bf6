#pragma once

#include "LibLedger/Entry.h"
#include <cstdint>
#include <map>
#include <vector>

namespace Ledger {

// What the ledger says about one budget, for people and for the audit of the fleet.
struct BudgetAudit {
    Tokens toppedUp { 0 };
    Tokens spent { 0 };
    Tokens ungranted { 0 };
    // Prices of claims without an outcome yet.
    Tokens reserved { 0 };
    // Unspent grants by holder.
    std::map<Holder, Tokens> outstanding;
    // Tokens that nobody can use at the moment: unspent grants of holders that a newer incarnation of the same host
    // has replaced, and prices of claims that expired without an outcome.
    Tokens stranded { 0 };
    uint64_t bills { 0 };
    uint64_t requestsWithSeveralAttempts { 0 };
    bool operator==(const BudgetAudit&) const = default;
};

// The audit of one shard at a sequence number.
struct LedgerAudit {
    uint32_t shard { 0 };
    uint64_t sequence { 0 };
    std::map<BudgetId, BudgetAudit> budgets;
    // Attempts that were recorded here for want of a witness and have no bill yet.
    std::vector<OpenAttempt> openAttempts;
    bool operator==(const LedgerAudit&) const = default;
};

}
