#pragma once

#include "LibLedger/Entry.h"

namespace Budget {

// Tokens of a budget set aside for one request: the upper bound of what it can consume.
struct Hold {
    Ledger::BudgetId budget;
    Ledger::Tokens tokens { 0 };
    bool operator==(const Hold&) const = default;
};

}
