#pragma once

#include "LibCore/Reason.h"
#include "LibLedger/BudgetState.h"
#include "LibLedger/IdentitySet.h"
#include "LibLedger/LedgerAudit.h"
#include <map>
#include <optional>
#include <string>

namespace Ledger {

// State of a claimed non-idempotent call.
struct ClaimState {
    Claim claim;
    std::optional<Outcome> outcome;
    // Wall-clock time of the last commit that changed the claim.
    int64_t changedAtMs { 0 };
    bool operator==(const ClaimState&) const = default;
};

// A dispatched attempt that has not been billed yet.
struct OpenAttemptState {
    OpenAttempt attempt;
    // Wall-clock time of the commit that opened it.
    int64_t openedAtMs { 0 };
    bool operator==(const OpenAttemptState&) const = default;
};

// Budgets, bills and claims of one shard. A deterministic state machine: all daemons that apply the same commits reach
// the same state. After every entry, the top-ups of each budget cover its spent, reserved and granted tokens. An entry
// that would violate this invariant is rejected; a grant is reduced instead.
class ShardState {
public:
    // Starts a commit. Removes identities last used before `expireBeforeMs`; bills that ended before it are rejected
    // from then on. Both times are wall-clock milliseconds since 1970, and lower values than before have no effect.
    void beginCommit(int64_t committedAtMs, int64_t expireBeforeMs);

    EntryResult apply(const Entry&);

    const std::map<BudgetId, BudgetState>& budgets() const { return m_budgets; }
    const std::map<std::string, OpenAttemptState>& openAttempts() const { return m_openAttempts; }
    const std::map<std::string, ClaimState>& claims() const { return m_claims; }
    // Number of attempts kept for deduplication.
    size_t trackedAttempts() const { return m_attempts.size(); }
    // Returns false if a budget's top-ups do not cover its spent, reserved and granted tokens, or a balance is
    // negative.
    bool invariantHolds() const;
    std::map<BudgetId, BudgetAudit> audit() const;

    std::string encode() const;
    // Returns std::nullopt for bytes that are not a valid state.
    static std::optional<ShardState> decode(const std::string&);

    bool operator==(const ShardState&) const = default;

private:
    EntryResult applyEntry(const TopUp&);
    EntryResult applyEntry(const Grant&);
    EntryResult applyEntry(const Return&);
    EntryResult applyEntry(const Usage&);
    EntryResult applyEntry(const OpenAttempt&);
    EntryResult applyEntry(const Claim&);
    EntryResult applyEntry(const Outcome&);
    EntryResult applyEntry(const Void&);
    EntryResult applyEntry(const CloseHolder&);

    BudgetState* find(const BudgetId&);
    ClaimState* findClaim(const std::string& requestId, const BudgetId&, const std::string& nonce);
    void countBill(BudgetState&, const std::string& requestId, int64_t timeMs);
    void expireClaims();
    void trimAttempts();
    void trimFinishedClaims();
    size_t evictOldestFinishedClaim();
    void expireHolders();
    void expireOpenAttempts();

    int64_t m_committedAtMs { 0 };
    int64_t m_expireBeforeMs { 0 };
    std::map<BudgetId, BudgetState> m_budgets;
    IdentitySet m_attempts;
    // Counts the attempts of each request.
    IdentitySet m_requests;
    std::map<std::string, ClaimState> m_claims;
    // Identities of finished claims whose outcomes are no longer stored.
    IdentitySet m_evictedClaims;
    // Bills and claims from before this time are rejected, since their identities may have been removed.
    int64_t m_rejectBeforeMs { 0 };
    std::map<std::string, OpenAttemptState> m_openAttempts;
};

}
