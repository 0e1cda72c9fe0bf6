#include "LibLedger/WriterSettings.h"

namespace Ledger {

std::vector<Holder> holdersToRecall(const BudgetState& budget, const Grant& grant, const EntryResult& result)
{
    std::vector<Holder> holders;
    if (result.code == ResultCode::Rejected || result.cumulativeGranted >= grant.cumulativeGranted)
        return holders;
    for (const std::pair<const Holder, HolderState>& item : budget.holders) {
        if (item.first != grant.holder && item.second.outstanding() > 0)
            holders.push_back(item.first);
    }
    return holders;
}

}
