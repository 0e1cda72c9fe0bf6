#pragma once

#include "LibCore/Reason.h"
#include "LibRelay/Configuration.h"
#include <map>
#include <optional>
#include <string>

namespace Relay {

// What one daemon has taken from a budget.
struct LedgerRow {
    // Differs between successive processes on a host.
    std::string incarnation;
    // Number of the writes to this row by this incarnation; tells whether a write whose reply was lost took effect.
    uint64_t sequence { 0 };
    // Tokens granted less tokens returned. All of it counts as spent.
    Tokens granted { 0 };
    bool operator==(const LedgerRow&) const = default;
};

// The object in the platform's store that holds one workspace's budget. Only conditional writes change it, so the sum
// of all grants never exceeds the budget.
struct WorkspaceLedger {
    // Configuration version that the budget is from.
    uint64_t configurationVersion { 0 };
    Tokens budget { 0 };
    // Granted to processes that have ended.
    Tokens closed { 0 };
    // By host.
    std::map<std::string, LedgerRow> rows;
    bool operator==(const WorkspaceLedger&) const = default;

    // Tokens that are not granted; negative after the operator lowered the budget below the grants.
    Tokens remaining() const;

    // The row of a host's process. Moves what an earlier process on the host was granted to `closed`.
    LedgerRow& rowOf(const std::string& host, const std::string& incarnation);
    const LedgerRow* findRow(const std::string& host, const std::string& incarnation) const;

    // Takes over the budget of a newer configuration.
    void adoptBudget(uint64_t version, Tokens);
};

std::string encodeLedger(const WorkspaceLedger&);
std::optional<WorkspaceLedger> decodeLedger(const std::string& text, Core::Reason&);

}
