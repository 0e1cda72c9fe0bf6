#pragma once

#include "LibBudget/Accounts.h"
#include "LibBudget/GrantAccount.h"

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
    uint32_t waiting { 0 };
    // Sum of the tokens that waiting requests want.
    Ledger::Tokens wanted { 0 };

    bool isGrantInFlight { false };
    bool isReturnInFlight { false };
    // The highest cumulative return that the ledger has confirmed.
    Ledger::Tokens confirmedReturned { 0 };

    // Counts grant requests that were answered or failed.
    uint64_t grantAnswers { 0 };
    // The last grant request got fewer tokens than it asked for, at this time.
    bool isExhausted { false };
    bool isUnknown { false };
    GrantAccount::Time answeredAt {};
    // Why the last grant request failed; empty when it was answered.
    std::optional<Core::Reason> failure;
};

}
