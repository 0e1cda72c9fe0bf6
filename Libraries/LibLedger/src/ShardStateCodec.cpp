#include "EntryCodec.h"
#include "LibLedger/Limits.h"
#include "LibLedger/ShardState.h"

namespace Ledger {

using json = nlohmann::json;

// Incremented when the encoding changes. States in other formats are rejected.
static constexpr uint64_t stateFormat = 1;

namespace {

void appendNumber(std::string& bytes, uint64_t value, int size)
{
    for (int shift = 0; shift < size * 8; shift += 8)
        bytes.push_back(static_cast<char>((value >> shift) & 255));
}

uint64_t numberAt(const std::string& bytes, size_t offset, int size)
{
    uint64_t value = 0;
    for (int i = size - 1; i >= 0; --i)
        value = (value << 8) | static_cast<unsigned char>(bytes[offset + i]);
    return value;
}

// 16 bytes of hash, 4 bytes of minute and 1 byte of counter.
constexpr size_t identityBytes = 21;

std::string packIdentities(const IdentitySet& identities)
{
    std::string bytes;
    bytes.reserve(identities.size() * identityBytes);
    for (const std::pair<const IdentityHash, IdentitySet::Item>& item : identities.sorted()) {
        appendNumber(bytes, item.first.high, 8);
        appendNumber(bytes, item.first.low, 8);
        appendNumber(bytes, static_cast<uint64_t>(item.second.minute), 4);
        appendNumber(bytes, item.second.count, 1);
    }
    return bytes;
}

bool unpackIdentities(const std::string& bytes, IdentitySet& identities)
{
    if (bytes.size() % identityBytes != 0)
        return false;
    for (size_t offset = 0; offset < bytes.size(); offset += identityBytes) {
        IdentityHash identity { numberAt(bytes, offset, 8), numberAt(bytes, offset + 8, 8) };
        IdentitySet::Item item { static_cast<int64_t>(numberAt(bytes, offset + 16, 4)), static_cast<uint8_t>(numberAt(bytes, offset + 20, 1)) };
        if (item.count == 0 || identities.contains(identity))
            return false;
        identities.restore(identity, item);
    }
    return true;
}

json budgetToJSON(const BudgetId& id, const BudgetState& budget)
{
    json holders = json::array();
    for (const std::pair<const Holder, HolderState>& item : budget.holders) {
        const HolderState& holder = item.second;
        holders.push_back(json::array({ item.first.host, item.first.incarnation, holder.granted, holder.returned, holder.billed,
            holder.isClosed ? 1 : 0, holder.changedAtMs }));
    }
    return json::array({ id.workspace, id.budget, budget.toppedUp, budget.spent, budget.reserved, budget.expiredClaimTokens, budget.bills,
        budget.requestsWithSeveralAttempts, budget.topUpIds, holders });
}

bool readHolders(const json& list, BudgetState& budget)
{
    for (const json& value : list) {
        CBOR::FieldReader reader(value);
        Holder id = readHolder(reader);
        HolderState holder;
        holder.granted = reader.number(maximumCumulativeTokens);
        holder.returned = reader.number(maximumCumulativeTokens);
        holder.billed = reader.number(maximumCumulativeTokens);
        holder.isClosed = reader.number(1) == 1;
        holder.changedAtMs = reader.signedNumber();
        if (!reader.finished() || !budget.holders.emplace(id, holder).second)
            return false;
    }
    return true;
}

bool readBudgets(const json& list, std::map<BudgetId, BudgetState>& budgets)
{
    for (const json& value : list) {
        CBOR::FieldReader reader(value);
        BudgetId id = readBudget(reader);
        BudgetState budget;
        budget.toppedUp = reader.number(maximumCumulativeTokens);
        budget.spent = reader.number(maximumCumulativeTokens);
        budget.reserved = reader.number(maximumCumulativeTokens);
        budget.expiredClaimTokens = reader.number(maximumCumulativeTokens);
        budget.bills = reader.unsignedNumber();
        budget.requestsWithSeveralAttempts = reader.unsignedNumber();
        for (const json& topUpId : reader.array()) {
            if (!topUpId.is_string())
                return false;
            budget.topUpIds.insert(topUpId.get<std::string>());
        }
        if (!readHolders(reader.array(), budget) || !reader.finished() || !budgets.emplace(id, budget).second)
            return false;
    }
    return true;
}

bool readClaims(const json& list, std::map<std::string, ClaimState>& claims)
{
    for (const json& value : list) {
        CBOR::FieldReader reader(value);
        std::optional<Entry> entry = entryFromJSON(reader.array());
        const json& outcome = reader.array();
        ClaimState state;
        state.changedAtMs = reader.signedNumber();
        if (!reader.finished() || !entry || !std::holds_alternative<Claim>(*entry))
            return false;
        state.claim = std::get<Claim>(*entry);
        if (!outcome.empty() && !(state.outcome = outcomeFromJSON(outcome)))
            return false;
        claims.emplace(state.claim.requestId, state);
    }
    return true;
}

bool readOpenAttempts(const json& list, std::map<std::string, OpenAttemptState>& attempts)
{
    for (const json& value : list) {
        CBOR::FieldReader reader(value);
        std::optional<Entry> entry = entryFromJSON(reader.array());
        int64_t openedAtMs = reader.signedNumber();
        if (!reader.finished() || !entry || !std::holds_alternative<OpenAttempt>(*entry))
            return false;
        const OpenAttempt& attempt = std::get<OpenAttempt>(*entry);
        attempts.emplace(attempt.attemptId, OpenAttemptState { attempt, openedAtMs });
    }
    return true;
}

}

std::string ShardState::encode() const
{
    json budgets = json::array();
    for (const std::pair<const BudgetId, BudgetState>& item : m_budgets)
        budgets.push_back(budgetToJSON(item.first, item.second));
    json claims = json::array();
    for (const std::pair<const std::string, ClaimState>& item : m_claims) {
        json outcome = item.second.outcome ? toJSON(*item.second.outcome) : json::array();
        claims.push_back(json::array({ toJSON(Entry(item.second.claim)), outcome, item.second.changedAtMs }));
    }
    json attempts = json::array();
    for (const std::pair<const std::string, OpenAttemptState>& item : m_openAttempts)
        attempts.push_back(json::array({ toJSON(Entry(item.second.attempt)), item.second.openedAtMs }));
    return CBOR::serialise(json::array({ stateFormat, m_committedAtMs, m_expireBeforeMs, budgets, claims, attempts,
        CBOR::byteString(packIdentities(m_attempts)), CBOR::byteString(packIdentities(m_requests)), CBOR::byteString(packIdentities(m_evictedClaims)), m_rejectBeforeMs }));
}

std::optional<ShardState> ShardState::decode(const std::string& bytes)
{
    std::optional<json> value = CBOR::parse(bytes);
    if (!value)
        return std::nullopt;
    CBOR::FieldReader reader(*value);
    if (reader.unsignedNumber() != stateFormat)
        return std::nullopt;
    ShardState state;
    state.m_committedAtMs = reader.signedNumber();
    state.m_expireBeforeMs = reader.signedNumber();
    bool isComplete = readBudgets(reader.array(), state.m_budgets);
    isComplete = isComplete && readClaims(reader.array(), state.m_claims);
    isComplete = isComplete && readOpenAttempts(reader.array(), state.m_openAttempts);
    isComplete = isComplete && unpackIdentities(reader.bytes(), state.m_attempts);
    isComplete = isComplete && unpackIdentities(reader.bytes(), state.m_requests);
    isComplete = isComplete && unpackIdentities(reader.bytes(), state.m_evictedClaims);
    state.m_rejectBeforeMs = reader.signedNumber();
    if (!isComplete || !reader.finished() || !state.invariantHolds())
        return std::nullopt;
    return state;
}

}
