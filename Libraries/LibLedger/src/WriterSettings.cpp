#include "LibLedger/WriterSettings.h"

namespace Ledger {

bool isUrgent(const Entry& entry, const std::map<BudgetId, BudgetState>& budgets)
{
    if (std::holds_alternative<Usage>(entry))
        return false;
    if (!std::holds_alternative<Grant>(entry))
        return true;
    std::map<BudgetId, BudgetState>::const_iterator budget = budgets.find(budgetOf(entry));
    return budget == budgets.end() || budget->second.ungranted() > 0;
}

bool addsTokens(const Entry& entry)
{
    return std::holds_alternative<TopUp>(entry) || std::holds_alternative<Return>(entry) || std::holds_alternative<CloseHolder>(entry);
}

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
