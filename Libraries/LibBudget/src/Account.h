#pragma once

#include "LibBudget/Accounts.h"
#include "LibBudget/GrantAccount.h"
#include <set>

namespace Budget {

// Balance of one budget, the requests waiting for tokens, and the state of calls to the ledger.
struct Accounts::Account {
    Account(const boost::asio::any_io_executor& executor, Ledger::BudgetId id)
        : budget(std::move(id))
        , changed(executor)
    {
    }

    Ledger::BudgetId budget;
    GrantAccount balance;
    // Notified when tokens become available or the ledger replies.
    Core::Signal changed;
    // Number of tokens that each waiting request needs.
    std::multiset<Ledger::Tokens> waitingAmounts;

    bool isGrantInFlight { false };
    bool isReturnInFlight { false };
    // Highest cumulative return confirmed by the ledger.
    Ledger::Tokens confirmedReturned { 0 };

    // Number of grant requests that were answered or failed.
    uint64_t completedGrantRequests { 0 };
    // The last grant request received fewer tokens than requested.
    bool isExhausted { false };
    // Tokens that were available after the last grant reply. Requests for no more than this can still succeed.
    Ledger::Tokens availableAfterGrant { 0 };
    bool isUnknownBudget { false };
    GrantAccount::Time grantCompletedAt {};
    // Reason why the last grant request failed; empty if it was answered.
    std::optional<Core::Reason> failure;
};

}
