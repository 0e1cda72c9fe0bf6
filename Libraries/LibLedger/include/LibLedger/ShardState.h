#pragma once

#include "LibCore/Reason.h"
#include "LibLedger/BudgetState.h"
#include "LibLedger/IdentitySet.h"
#include "LibLedger/LedgerAudit.h"
#include <map>
#include <optional>
#include <string>

namespace Ledger {

// What is known of the one run of a call that must not be repeated.
struct ClaimState {
    Claim claim;
    std::optional<Outcome> outcome;
    // Wall-clock time of the last commit that changed the claim.
    int64_t changedAtMs { 0 };
    bool operator==(const ClaimState&) const = default;
};

// An attempt whose bill the ledger has not seen yet.
struct OpenAttemptState {
    OpenAttempt attempt;
    // Wall-clock time of the commit that opened it.
    int64_t openedAtMs { 0 };
    bool operator==(const OpenAttemptState&) const = default;
};

// The budgets, bills and claims of one shard. A plain function of the entries applied to it: all daemons that apply
// the same commits get the same state. For each budget, top-ups cover spent, reserved and granted tokens after
// every entry; an entry that would break this is refused, a grant is reduced.
class ShardState {
public:
    // Starts a commit. Identities whose last use is before `expireBeforeMs` are forgotten, and bills that ended
    // before it are refused. Both times are wall-clock milliseconds since 1970; they never move back.
    void beginCommit(int64_t committedAtMs, int64_t expireBeforeMs);

    EntryResult apply(const Entry&);

    const std::map<BudgetId, BudgetState>& budgets() const { return m_budgets; }
    const std::map<std::string, OpenAttemptState>& openAttempts() const { return m_openAttempts; }
    const std::map<std::string, ClaimState>& claims() const { return m_claims; }
    // Number of attempts remembered for deduplication.
    size_t rememberedAttempts() const { return m_attempts.size(); }
    // False if a budget's top-ups don't cover what was spent, reserved and granted, or a holder's number is negative.
    bool invariantHolds() const;
    std::map<BudgetId, BudgetAudit> audit() const;

    std::string encode() const;
    // Empty on bytes that are not a valid state.
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
    void boundAttempts();
    void boundFinishedClaims();
    size_t forgetOldestFinishedClaim();
    void expireHolders();
    void expireOpenAttempts();

    int64_t m_committedAtMs { 0 };
    int64_t m_expireBeforeMs { 0 };
    std::map<BudgetId, BudgetState> m_budgets;
    IdentitySet m_attempts;
    // Counts the attempts of each request.
    IdentitySet m_requests;
    std::map<std::string, ClaimState> m_claims;
    // Claims that ran and whose answers are no longer stored.
    IdentitySet m_finishedClaims;
    // Bills and claims from before this time are refused, since their identities may have been forgotten.
    int64_t m_forgottenBeforeMs { 0 };
    std::map<std::string, OpenAttemptState> m_openAttempts;
};

}
