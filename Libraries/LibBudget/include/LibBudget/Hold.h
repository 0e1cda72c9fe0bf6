#pragma once

#include "LibLedger/Entry.h"

namespace Budget {

// Tokens of a budget reserved for one request: an upper bound of its consumption.
struct Hold {
    Ledger::BudgetId budget;
    Ledger::Tokens tokens { 0 };
    bool operator==(const Hold&) const = default;
};

}
