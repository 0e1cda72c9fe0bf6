#pragma once

#include "LibLedger/Entry.h"
#include <functional>
#include <optional>

namespace Budget {

// What a daemon knows of a budget when it asks for a grant.
struct GrantNeed {
    Ledger::BudgetId budget;
    // Tokens that waiting requests lack.
    Ledger::Tokens missing { 0 };
    // Tokens that are available here beyond those of waiting requests.
    Ledger::Tokens spare { 0 };
    // Recent consumption at this daemon.
    double tokensPerSecond { 0 };
    // Tokens of the budget that no holder had at the last answer of the ledger; empty before the first answer.
    std::optional<Ledger::Tokens> ungranted;
    // Holders with unspent grants at the last answer.
    uint32_t activeHolders { 0 };
    // The budget was recalled a short time ago: other daemons lack tokens.
    bool isScarce { false };
};

// Returns how many tokens to ask for beyond the present grant.
using GrantPolicy = std::function<Ledger::Tokens(const GrantNeed&)>;

struct GrantPolicySettings {
    // How many seconds of recent consumption a daemon keeps ahead. They bridge a partition from the ledger; where
    // tokens get scarce, recalls take them back.
    double demandSeconds { 60 };
    // The part of the ungranted remainder that all holders together may keep ahead.
    double share { 0.75 };
    bool operator==(const GrantPolicySettings&) const = default;
};

// Asks for what is missing, and fills up the spare tokens to some seconds of recent consumption, limited to a share of
// the ungranted remainder divided by the number of holders. A scarce or unknown budget gets nothing ahead.
GrantPolicy defaultGrantPolicy(GrantPolicySettings);

}
