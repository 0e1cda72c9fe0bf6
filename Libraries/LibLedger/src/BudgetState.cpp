#include "LibLedger/BudgetState.h"

namespace Ledger {

Tokens BudgetState::outstanding() const
{
    Tokens sum = 0;
    for (const std::pair<const Holder, HolderState>& holder : holders)
        sum += holder.second.outstanding();
    return sum;
}

uint32_t BudgetState::activeHolders() const
{
    uint32_t count = 0;
    for (const std::pair<const Holder, HolderState>& holder : holders) {
        if (holder.second.outstanding() > 0)
            ++count;
    }
    return count;
}

}
