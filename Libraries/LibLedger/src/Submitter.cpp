#include "LibLedger/Submitter.h"

#include "LibCore/Hash.h"

namespace Ledger {

uint32_t shardOf(const BudgetId& budget, uint32_t shardCount)
{
    return static_cast<uint32_t>(Core::hash64(budget.text()) % shardCount);
}

}
