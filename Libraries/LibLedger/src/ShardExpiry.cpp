#include "LibLedger/Limits.h"
#include "LibLedger/ShardState.h"

namespace Ledger {

void ShardState::expireClaims()
{
    std::erase_if(m_claims, [this](const std::pair<const std::string, ClaimState>& item) {
        const ClaimState& claim = item.second;
        if (claim.changedAtMs >= m_expireBeforeMs)
            return false;
        if (claim.outcome)
            return true;
        // The call may have run, so its price must not become available again.
        BudgetState& budget = m_budgets[claim.claim.budget];
        budget.reserved -= claim.claim.price;
        budget.expiredClaimTokens += claim.claim.price;
        return true;
    });
}

void ShardState::trimAttempts()
{
    if (m_attempts.size() <= maximumAttempts)
        return;
    int64_t cutoffMs = m_attempts.expiryForSize(maximumAttempts * 3 / 4);
    m_attempts.expireBefore(cutoffMs);
    m_requests.expireBefore(cutoffMs);
    m_rejectBeforeMs = std::max(m_rejectBeforeMs, cutoffMs);
}

void ShardState::trimFinishedClaims()
{
    size_t count = 0;
    size_t bytes = 0;
    for (const std::pair<const std::string, ClaimState>& item : m_claims) {
        count += item.second.outcome ? 1 : 0;
        bytes += item.second.outcome ? item.second.outcome->body.size() : 0;
    }
    while (count > maximumFinishedClaims || bytes > maximumOutcomeBytes) {
        bytes -= evictOldestFinishedClaim();
        --count;
    }
    if (m_evictedClaims.size() > maximumEvictedClaims)
        m_evictedClaims.expireBefore(m_evictedClaims.expiryForSize(maximumEvictedClaims * 3 / 4));
}

// Keeps the identity, so that a retry of the call is still reported as already run, but without its outcome. Returns
// the size of the removed body.
size_t ShardState::evictOldestFinishedClaim()
{
    std::map<std::string, ClaimState>::iterator oldest = m_claims.end();
    for (std::map<std::string, ClaimState>::iterator item = m_claims.begin(); item != m_claims.end(); ++item) {
        if (item->second.outcome && (oldest == m_claims.end() || item->second.changedAtMs < oldest->second.changedAtMs))
            oldest = item;
    }
    m_evictedClaims.add(IdentityHash::of(oldest->first), oldest->second.changedAtMs);
    size_t bytes = oldest->second.outcome->body.size();
    m_claims.erase(oldest);
    return bytes;
}

// Removes holders without tokens, but only after a newer incarnation of the same host is known: the old process has
// ended then, so no retried message can carry a cumulative value that the ledger has removed.
void ShardState::expireHolders()
{
    for (std::pair<const BudgetId, BudgetState>& budget : m_budgets) {
        std::map<Holder, HolderState>& holders = budget.second.holders;
        for (std::map<Holder, HolderState>::iterator item = holders.begin(); item != holders.end();) {
            std::map<Holder, HolderState>::iterator following = std::next(item);
            bool isSuperseded = following != holders.end() && following->first.host == item->first.host;
            if (isSuperseded && item->second.outstanding() == 0 && item->second.changedAtMs < m_expireBeforeMs)
                holders.erase(item);
            item = following;
        }
    }
}

void ShardState::expireOpenAttempts()
{
    std::erase_if(m_openAttempts, [this](const std::pair<const std::string, OpenAttemptState>& item) {
        return item.second.openedAtMs < m_expireBeforeMs;
    });
}

bool ShardState::invariantHolds() const
{
    for (const std::pair<const BudgetId, BudgetState>& item : m_budgets) {
        const BudgetState& budget = item.second;
        if (budget.ungranted() < 0 || budget.reserved < 0 || budget.spent < 0)
            return false;
        for (const std::pair<const Holder, HolderState>& holder : budget.holders) {
            if (holder.second.outstanding() < 0)
                return false;
        }
    }
    return true;
}

std::map<BudgetId, BudgetAudit> ShardState::audit() const
{
    std::map<BudgetId, BudgetAudit> audits;
    for (const std::pair<const BudgetId, BudgetState>& item : m_budgets) {
        const BudgetState& budget = item.second;
        BudgetAudit& audit = audits[item.first];
        audit.toppedUp = budget.toppedUp;
        audit.spent = budget.spent;
        audit.ungranted = budget.ungranted();
        audit.reserved = budget.reserved;
        audit.stranded = budget.expiredClaimTokens;
        audit.bills = budget.bills;
        audit.requestsWithSeveralAttempts = budget.requestsWithSeveralAttempts;
        for (std::map<Holder, HolderState>::const_iterator holder = budget.holders.begin(); holder != budget.holders.end(); ++holder) {
            Tokens outstanding = holder->second.outstanding();
            if (outstanding == 0)
                continue;
            audit.outstanding[holder->first] = outstanding;
            std::map<Holder, HolderState>::const_iterator following = std::next(holder);
            if (following != budget.holders.end() && following->first.host == holder->first.host)
                audit.stranded += outstanding;
        }
    }
    return audits;
}

}
