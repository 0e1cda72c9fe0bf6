#pragma once

#include "LibLedger/Entry.h"

namespace Budget {

// Snapshot of one account for status reports.
struct AccountStatus {
    Ledger::BudgetId budget;
    Ledger::Tokens granted { 0 };
    Ledger::Tokens returned { 0 };
    Ledger::Tokens settled { 0 };
    Ledger::Tokens held { 0 };
    Ledger::Tokens available { 0 };
    uint32_t waitingRequests { 0 };
    bool operator==(const AccountStatus&) const = default;
};

}
