#pragma once

#include "LibBudget/Accounts.h"
#include "LibBudget/GrantAccount.h"
#include <set>

namespace Budget {

// An account and the requests that wait for it.
struct Accounts::Account {
    Account(const boost::asio::any_io_executor& executor, Ledger::BudgetId id)
        : budget(std::move(id))
        , changed(executor)
    {
    }

    Ledger::BudgetId budget;
    GrantAccount numbers;
    // Signalled when tokens became available or the ledger answered.
    Core::Signal changed;
    // What each waiting request wants.
    std::multiset<Ledger::Tokens> wanted;

    bool isGrantInFlight { false };
    bool isReturnInFlight { false };
    // The highest cumulative return that the ledger has confirmed.
    Ledger::Tokens confirmedReturned { 0 };

    // Counts grant requests that were answered or failed.
    uint64_t grantAnswers { 0 };
    // The last grant request got fewer tokens than it asked for, at this time.
    bool isExhausted { false };
    // Tokens that were available after that answer; a smaller request is worth asking again.
    Ledger::Tokens foundTokens { 0 };
    bool isUnknown { false };
    GrantAccount::Time answeredAt {};
    // Why the last grant request failed; empty when it was answered.
    std::optional<Core::Reason> failure;
};

}
