#pragma once

#include "LibCore/Async.h"
#include "LibCore/Reason.h"
#include "LibLedger/Entry.h"
#include <functional>
#include <optional>

namespace Ledger {

// Commits entries of one shard and returns one result per entry once they are durable. Entries are idempotent, so a
// failed submission may be retried unchanged.
using Submit = std::function<Core::Task<std::optional<std::vector<EntryResult>>>(
    uint32_t shard, std::vector<Entry>, Core::Deadline, Core::Reason&)>;

// Returns the shard that stores a budget.
uint32_t shardOf(const BudgetId&, uint32_t shardCount);

}
