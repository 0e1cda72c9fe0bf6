#include "LibLedger/ShardState.h"

#include "LibLedger/Limits.h"
#include <algorithm>

namespace Ledger {

static EntryResult resultWithCode(ResultCode code)
{
    EntryResult result;
    result.code = code;
    return result;
}

static EntryResult resultForHolder(ResultCode code, const HolderState& holder)
{
    EntryResult result;
    result.code = code;
    result.cumulativeGranted = holder.granted;
    return result;
}

static constexpr int64_t millisecondsPerMinute = 60'000;

static bool isValidAmount(Tokens tokens)
{
    return tokens >= 0 && tokens <= maximumTokens;
}

void ShardState::beginCommit(int64_t committedAtMs, int64_t expireBeforeMs)
{
    m_committedAtMs = std::max(m_committedAtMs, committedAtMs);
    trimAttempts();
    trimFinishedClaims();
    // Expiry visits every budget, so it runs at most once per minute.
    if (expireBeforeMs / millisecondsPerMinute <= m_expireBeforeMs / millisecondsPerMinute)
        return;
    m_expireBeforeMs = expireBeforeMs;
    m_attempts.expireBefore(m_expireBeforeMs);
    m_requests.expireBefore(m_expireBeforeMs);
    m_evictedClaims.expireBefore(m_expireBeforeMs);
    m_rejectBeforeMs = std::max(m_rejectBeforeMs, m_expireBeforeMs);
    expireClaims();
    expireHolders();
    expireOpenAttempts();
}

EntryResult ShardState::apply(const Entry& entry)
{
    EntryResult result = std::visit([this](const auto& value) { return applyEntry(value); }, entry);
    const BudgetState* budget = find(budgetOf(entry));
    if (!budget)
        return result;
    result.ungranted = budget->ungranted();
    result.activeHolders = budget->activeHolders();
    return result;
}

BudgetState* ShardState::find(const BudgetId& id)
{
    std::map<BudgetId, BudgetState>::iterator found = m_budgets.find(id);
    return found == m_budgets.end() ? nullptr : &found->second;
}

EntryResult ShardState::applyEntry(const TopUp& entry)
{
    if (!isValidAmount(entry.tokens))
        return resultWithCode(ResultCode::Rejected);
    BudgetState& budget = m_budgets[entry.budget];
    if (budget.topUpIds.contains(entry.topUpId))
        return resultWithCode(ResultCode::Duplicate);
    if (budget.toppedUp > maximumCumulativeTokens - entry.tokens)
        return resultWithCode(ResultCode::Rejected);
    budget.topUpIds.insert(entry.topUpId);
    budget.toppedUp += entry.tokens;
    return {};
}

EntryResult ShardState::applyEntry(const Grant& entry)
{
    BudgetState* budget = find(entry.budget);
    if (!budget)
        return resultWithCode(ResultCode::UnknownBudget);
    if (entry.cumulativeGranted < 0 || entry.cumulativeGranted > maximumCumulativeTokens)
        return resultWithCode(ResultCode::Rejected);
    std::map<Holder, HolderState>::iterator found = budget->holders.find(entry.holder);
    HolderState current = found == budget->holders.end() ? HolderState() : found->second;
    if (current.isClosed)
        return resultForHolder(ResultCode::Rejected, current);
    if (entry.cumulativeGranted <= current.granted)
        return resultForHolder(ResultCode::Duplicate, current);
    Tokens increase = std::min(entry.cumulativeGranted - current.granted, budget->ungranted());
    if (increase <= 0)
        return resultForHolder(ResultCode::Exhausted, current);
    HolderState& holder = budget->holders[entry.holder];
    holder.granted += increase;
    holder.changedAtMs = m_committedAtMs;
    return resultForHolder(ResultCode::Applied, holder);
}

EntryResult ShardState::applyEntry(const Return& entry)
{
    BudgetState* budget = find(entry.budget);
    if (!budget)
        return resultWithCode(ResultCode::UnknownBudget);
    std::map<Holder, HolderState>::iterator found = budget->holders.find(entry.holder);
    if (found == budget->holders.end())
        return resultWithCode(entry.cumulativeReturned == 0 ? ResultCode::Duplicate : ResultCode::Rejected);
    HolderState& holder = found->second;
    if (entry.cumulativeReturned <= holder.returned)
        return resultForHolder(entry.cumulativeReturned < 0 ? ResultCode::Rejected : ResultCode::Duplicate, holder);
    if (entry.cumulativeReturned - holder.returned > holder.outstanding())
        return resultForHolder(ResultCode::Rejected, holder);
    holder.returned = entry.cumulativeReturned;
    holder.changedAtMs = m_committedAtMs;
    return resultForHolder(ResultCode::Applied, holder);
}

EntryResult ShardState::applyEntry(const Usage& entry)
{
    BudgetState* budget = find(entry.budget);
    if (!budget)
        return resultWithCode(ResultCode::UnknownBudget);
    IdentityHash attempt = IdentityHash::of(entry.attemptId);
    if (m_attempts.contains(attempt))
        return resultWithCode(ResultCode::Duplicate);
    if (!isValidAmount(entry.tokens) || entry.endedAtMs < m_rejectBeforeMs)
        return resultWithCode(ResultCode::Rejected);
    std::map<Holder, HolderState>::iterator found = budget->holders.find(entry.holder);
    Tokens covered = found == budget->holders.end() ? 0 : found->second.outstanding();
    // Tokens beyond the holder's grant are taken from the ungranted tokens, so that the bill is charged completely.
    Tokens excess = std::max<Tokens>(0, entry.tokens - covered);
    if (excess > budget->ungranted())
        return resultWithCode(ResultCode::Rejected);
    HolderState& holder = budget->holders[entry.holder];
    holder.granted += excess;
    holder.billed += entry.tokens;
    holder.changedAtMs = m_committedAtMs;
    budget->spent += entry.tokens;
    int64_t lastUse = std::max(m_committedAtMs, entry.endedAtMs);
    m_attempts.add(attempt, lastUse);
    m_openAttempts.erase(entry.attemptId);
    countBill(*budget, entry.requestId, lastUse);
    return resultForHolder(ResultCode::Applied, holder);
}

void ShardState::countBill(BudgetState& budget, const std::string& requestId, int64_t timeMs)
{
    uint8_t attempts = m_requests.add(IdentityHash::of(requestId), timeMs);
    if (attempts == 1)
        ++budget.bills;
    if (attempts == 2)
        ++budget.requestsWithSeveralAttempts;
}

EntryResult ShardState::applyEntry(const OpenAttempt& entry)
{
    if (!find(entry.budget))
        return resultWithCode(ResultCode::UnknownBudget);
    if (!isValidAmount(entry.tokensHeld))
        return resultWithCode(ResultCode::Rejected);
    if (m_attempts.contains(IdentityHash::of(entry.attemptId)))
        return resultWithCode(ResultCode::Duplicate);
    bool isNew = m_openAttempts.emplace(entry.attemptId, OpenAttemptState { entry, m_committedAtMs }).second;
    return resultWithCode(isNew ? ResultCode::Applied : ResultCode::Duplicate);
}

static IdentityHash voidedNonceHash(const std::string& nonce)
{
    return IdentityHash::of("void " + nonce);
}

EntryResult ShardState::applyEntry(const Claim& entry)
{
    BudgetState* budget = find(entry.budget);
    if (!budget)
        return resultWithCode(ResultCode::UnknownBudget);
    std::map<std::string, ClaimState>::iterator found = m_claims.find(entry.requestId);
    if (found != m_claims.end()) {
        const ClaimState& existing = found->second;
        if (existing.claim.nonce == entry.nonce && existing.claim.budget == entry.budget)
            return resultWithCode(ResultCode::Duplicate);
        EntryResult result = resultWithCode(ResultCode::AlreadyClaimed);
        result.existing = ExistingClaim { existing.claim.claimant, existing.outcome };
        return result;
    }
    if (m_evictedClaims.contains(IdentityHash::of(entry.requestId))) {
        EntryResult result = resultWithCode(ResultCode::AlreadyClaimed);
        result.existing = ExistingClaim {};
        return result;
    }
    if (!isValidAmount(entry.price) || entry.claimedAtMs < m_rejectBeforeMs)
        return resultWithCode(ResultCode::Rejected);
    // The claim was already voided by its daemon, so this entry is a delayed duplicate.
    if (m_attempts.contains(voidedNonceHash(entry.nonce)))
        return resultWithCode(ResultCode::Rejected);
    if (entry.price > budget->ungranted())
        return resultWithCode(ResultCode::Exhausted);
    budget->reserved += entry.price;
    m_claims.emplace(entry.requestId, ClaimState { entry, std::nullopt, m_committedAtMs });
    return {};
}

ClaimState* ShardState::findClaim(const std::string& requestId, const BudgetId& budget, const std::string& nonce)
{
    std::map<std::string, ClaimState>::iterator found = m_claims.find(requestId);
    if (found == m_claims.end() || found->second.claim.nonce != nonce || found->second.claim.budget != budget)
        return nullptr;
    return &found->second;
}

EntryResult ShardState::applyEntry(const Outcome& entry)
{
    BudgetState* budget = find(entry.budget);
    if (!budget)
        return resultWithCode(ResultCode::UnknownBudget);
    ClaimState* claim = findClaim(entry.requestId, entry.budget, entry.nonce);
    if (!claim || entry.body.size() > maximumOutcomeBodyBytes)
        return resultWithCode(ResultCode::Rejected);
    if (claim->outcome)
        return resultWithCode(ResultCode::Duplicate);
    claim->outcome = entry;
    claim->changedAtMs = m_committedAtMs;
    budget->reserved -= claim->claim.price;
    budget->spent += claim->claim.price;
    countBill(*budget, entry.requestId, m_committedAtMs);
    return {};
}

EntryResult ShardState::applyEntry(const Void& entry)
{
    BudgetState* budget = find(entry.budget);
    if (!budget)
        return resultWithCode(ResultCode::UnknownBudget);
    ClaimState* claim = findClaim(entry.requestId, entry.budget, entry.nonce);
    if (claim && claim->outcome)
        return resultWithCode(ResultCode::Rejected);
    if (m_attempts.contains(voidedNonceHash(entry.nonce)))
        return resultWithCode(ResultCode::Duplicate);
    // Recorded even without a claim, so that a delayed claim has no effect.
    m_attempts.add(voidedNonceHash(entry.nonce), m_committedAtMs);
    if (!claim)
        return {};
    budget->reserved -= claim->claim.price;
    m_claims.erase(entry.requestId);
    return {};
}

EntryResult ShardState::applyEntry(const CloseHolder& entry)
{
    BudgetState* budget = find(entry.budget);
    if (!budget)
        return resultWithCode(ResultCode::UnknownBudget);
    HolderState& holder = budget->holders[entry.holder];
    if (holder.isClosed)
        return resultForHolder(ResultCode::Duplicate, holder);
    holder.returned += holder.outstanding();
    holder.isClosed = true;
    holder.changedAtMs = m_committedAtMs;
    return resultForHolder(ResultCode::Applied, holder);
}

}
