#pragma once

#include "LibLedger/Entry.h"
#include <cstdint>
#include <map>
#include <vector>

namespace Ledger {

// Totals of one budget, for operators and for the fleet audit.
struct BudgetAudit {
    Tokens toppedUp { 0 };
    Tokens spent { 0 };
    Tokens ungranted { 0 };
    // Prices of claims without an outcome.
    Tokens reserved { 0 };
    // Unspent grants by holder.
    std::map<Holder, Tokens> outstanding;
    // Tokens that are currently unusable: unspent grants of holders superseded by a newer incarnation of the same host,
    // and prices of claims that expired without an outcome.
    Tokens stranded { 0 };
    uint64_t bills { 0 };
    uint64_t requestsWithSeveralAttempts { 0 };
    bool operator==(const BudgetAudit&) const = default;
};

// Audit of one shard at a sequence number.
struct LedgerAudit {
    uint32_t shard { 0 };
    uint64_t sequence { 0 };
    std::map<BudgetId, BudgetAudit> budgets;
    // Attempts recorded in the ledger because no witness was reachable, and not billed yet.
    std::vector<OpenAttempt> openAttempts;
    bool operator==(const LedgerAudit&) const = default;
};

}
