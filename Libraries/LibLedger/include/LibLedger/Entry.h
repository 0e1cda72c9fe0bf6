#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Ledger {

using Tokens = int64_t;

// Identifies a budget within a workspace.
struct BudgetId {
    std::string workspace;
    std::string budget;
    auto operator<=>(const BudgetId&) const = default;
    std::string text() const { return workspace + "/" + budget; }
};

// One daemon process: its host and the incarnation number assigned at startup. Grants belong to an incarnation, since a
// restarted process has no record of its predecessor's grants.
struct Holder {
    std::string host;
    uint64_t incarnation { 0 };
    auto operator<=>(const Holder&) const = default;
    std::string text() const { return host + "#" + std::to_string(incarnation); }
};

enum class UsageKind {
    Complete,
    BrokenOff,
};

// Adds prepaid tokens, applied once per top-up id.
struct TopUp {
    BudgetId budget;
    std::string topUpId;
    Tokens tokens { 0 };
    bool operator==(const TopUp&) const = default;
};

// Raises a holder's cumulative grant to at most the given value.
struct Grant {
    BudgetId budget;
    Holder holder;
    Tokens cumulativeGranted { 0 };
    bool operator==(const Grant&) const = default;
};

// Returns unspent tokens to the budget. The value is cumulative.
struct Return {
    BudgetId budget;
    Holder holder;
    Tokens cumulativeReturned { 0 };
    bool operator==(const Return&) const = default;
};

// Tokens consumed by one attempt of a request, applied once per attempt. The first usage of a request is its bill.
struct Usage {
    std::string attemptId;
    std::string requestId;
    BudgetId budget;
    Holder holder;
    Tokens tokens { 0 };
    UsageKind kind { UsageKind::Complete };
    // Wall-clock time at which the attempt ended, in milliseconds since 1970.
    int64_t endedAtMs { 0 };
    bool operator==(const Usage&) const = default;
};

// An attempt about to be dispatched. Recorded in the ledger only when no witness is reachable.
struct OpenAttempt {
    std::string attemptId;
    std::string requestId;
    BudgetId budget;
    Holder holder;
    Tokens tokensHeld { 0 };
    std::string endpoint;
    bool operator==(const OpenAttempt&) const = default;
};

// Reserves the single execution of a non-idempotent call, and its price.
struct Claim {
    std::string requestId;
    BudgetId budget;
    Tokens price { 0 };
    Holder claimant;
    std::string nonce;
    int64_t claimedAtMs { 0 };
    bool operator==(const Claim&) const = default;
};

// The response to a claimed call. Converts the reserved price into a bill. The body is at most 2 KB.
struct Outcome {
    std::string requestId;
    BudgetId budget;
    std::string nonce;
    unsigned status { 0 };
    std::string contentType;
    std::string body;
    bool operator==(const Outcome&) const = default;
};

// Cancels a claim whose call was provably never sent, and releases its price.
struct Void {
    std::string requestId;
    BudgetId budget;
    std::string nonce;
    bool operator==(const Void&) const = default;
};

// Releases the unspent grant of a holder whose process has provably ended.
struct CloseHolder {
    BudgetId budget;
    Holder holder;
    bool operator==(const CloseHolder&) const = default;
};

using Entry = std::variant<TopUp, Grant, Return, Usage, OpenAttempt, Claim, Outcome, Void, CloseHolder>;

// Returns the budget an entry belongs to, which determines its shard.
const BudgetId& budgetOf(const Entry&);

enum class ResultCode {
    Applied,
    // The entry was already applied.
    Duplicate,
    // Grant: the budget has no ungranted tokens. Claim: the price exceeds the ungranted tokens.
    Exhausted,
    // Claim: the request is already claimed under another nonce, described by `existing`.
    AlreadyClaimed,
    UnknownBudget,
    // The entry is malformed, too old, or contradicts the state.
    Rejected,
};

struct ExistingClaim {
    Holder claimant;
    std::optional<Outcome> outcome;
    bool operator==(const ExistingClaim&) const = default;
};

struct EntryResult {
    ResultCode code { ResultCode::Applied };
    // Grant: the holder's cumulative grant after the entry was applied.
    Tokens cumulativeGranted { 0 };
    // Tokens of the budget not granted to any holder after the entry was applied.
    Tokens ungranted { 0 };
    // Number of holders with unspent grants of the budget after the entry was applied.
    uint32_t activeHolders { 0 };
    std::optional<ExistingClaim> existing;
    bool operator==(const EntryResult&) const = default;
};

// CBOR codecs for objects in the platform's store and messages between daemons. Decoders return std::nullopt for
// invalid bytes and never throw.
std::string encodeEntries(const std::vector<Entry>&);
std::optional<std::vector<Entry>> decodeEntries(const std::string&);
std::string encodeResults(const std::vector<EntryResult>&);
std::optional<std::vector<EntryResult>> decodeResults(const std::string&);

}
