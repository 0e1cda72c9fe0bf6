#include "EntryCodec.h"

#include "LibLedger/Limits.h"

namespace Ledger {

using json = nlohmann::json;

// First element of an encoded entry. Values are never reused, since stored commits are read by later versions.
enum EntryTag : int64_t {
    TopUpTag = 1,
    GrantTag = 2,
    ReturnTag = 3,
    UsageTag = 4,
    OpenAttemptTag = 5,
    ClaimTag = 6,
    OutcomeTag = 7,
    VoidTag = 8,
    CloseHolderTag = 9,
};

namespace {

struct Encoder {
    json operator()(const TopUp& entry) const { return json::array({ TopUpTag, entry.budget.workspace, entry.budget.budget, entry.topUpId, entry.tokens }); }
    json operator()(const Grant& entry) const { return withHolder(GrantTag, entry.budget, entry.holder, entry.cumulativeGranted); }
    json operator()(const Return& entry) const { return withHolder(ReturnTag, entry.budget, entry.holder, entry.cumulativeReturned); }
    json operator()(const Usage& entry) const
    {
        json value = withHolder(UsageTag, entry.budget, entry.holder, entry.tokens);
        value.push_back(entry.attemptId);
        value.push_back(entry.requestId);
        value.push_back(static_cast<int64_t>(entry.kind));
        value.push_back(entry.endedAtMs);
        return value;
    }
    json operator()(const OpenAttempt& entry) const
    {
        json value = withHolder(OpenAttemptTag, entry.budget, entry.holder, entry.tokensHeld);
        value.push_back(entry.attemptId);
        value.push_back(entry.requestId);
        value.push_back(entry.endpoint);
        return value;
    }
    json operator()(const Claim& entry) const
    {
        json value = withHolder(ClaimTag, entry.budget, entry.claimant, entry.price);
        value.push_back(entry.requestId);
        value.push_back(entry.nonce);
        value.push_back(entry.claimedAtMs);
        return value;
    }
    json operator()(const Outcome& entry) const
    {
        return json::array({ OutcomeTag, entry.budget.workspace, entry.budget.budget, entry.requestId, entry.nonce, entry.status,
            entry.contentType, CBOR::byteString(entry.body) });
    }
    json operator()(const Void& entry) const { return json::array({ VoidTag, entry.budget.workspace, entry.budget.budget, entry.requestId, entry.nonce }); }
    json operator()(const CloseHolder& entry) const { return withHolder(CloseHolderTag, entry.budget, entry.holder, 0); }

    static json withHolder(EntryTag tag, const BudgetId& budget, const Holder& holder, Tokens tokens)
    {
        return json::array({ tag, budget.workspace, budget.budget, holder.host, holder.incarnation, tokens });
    }
};

std::string readIdentity(CBOR::FieldReader& reader) { return reader.name(maximumNameBytes); }

Usage readUsage(CBOR::FieldReader& reader)
{
    Usage entry;
    entry.budget = readBudget(reader);
    entry.holder = readHolder(reader);
    entry.tokens = reader.number(maximumTokens);
    entry.attemptId = readIdentity(reader);
    entry.requestId = readIdentity(reader);
    entry.kind = static_cast<UsageKind>(reader.number(static_cast<int64_t>(UsageKind::BrokenOff)));
    entry.endedAtMs = reader.number(INT64_MAX);
    return entry;
}

OpenAttempt readOpenAttempt(CBOR::FieldReader& reader)
{
    OpenAttempt entry;
    entry.budget = readBudget(reader);
    entry.holder = readHolder(reader);
    entry.tokensHeld = reader.number(maximumTokens);
    entry.attemptId = readIdentity(reader);
    entry.requestId = readIdentity(reader);
    entry.endpoint = reader.text(maximumNameBytes);
    return entry;
}

Claim readClaim(CBOR::FieldReader& reader)
{
    Claim entry;
    entry.budget = readBudget(reader);
    entry.claimant = readHolder(reader);
    entry.price = reader.number(maximumTokens);
    entry.requestId = readIdentity(reader);
    entry.nonce = readIdentity(reader);
    entry.claimedAtMs = reader.number(INT64_MAX);
    return entry;
}

Outcome readOutcome(CBOR::FieldReader& reader)
{
    Outcome entry;
    entry.budget = readBudget(reader);
    entry.requestId = readIdentity(reader);
    entry.nonce = readIdentity(reader);
    entry.status = static_cast<unsigned>(reader.number(999));
    entry.contentType = reader.text(maximumNameBytes);
    entry.body = reader.bytes();
    if (entry.body.size() > maximumOutcomeBodyBytes)
        reader.fail();
    return entry;
}

Entry readFields(int64_t tag, CBOR::FieldReader& reader)
{
    // Braced initialisers are evaluated from left to right, in the order of the fields.
    switch (tag) {
    case TopUpTag:
        return TopUp { readBudget(reader), readIdentity(reader), reader.number(maximumTokens) };
    case GrantTag:
        return Grant { readBudget(reader), readHolder(reader), reader.number(maximumCumulativeTokens) };
    case ReturnTag:
        return Return { readBudget(reader), readHolder(reader), reader.number(maximumCumulativeTokens) };
    case UsageTag:
        return readUsage(reader);
    case OpenAttemptTag:
        return readOpenAttempt(reader);
    case ClaimTag:
        return readClaim(reader);
    case OutcomeTag:
        return readOutcome(reader);
    case VoidTag: {
        Void entry;
        entry.budget = readBudget(reader);
        entry.requestId = readIdentity(reader);
        entry.nonce = readIdentity(reader);
        return entry;
    }
    case CloseHolderTag: {
        CloseHolder entry { readBudget(reader), readHolder(reader) };
        reader.number(0);
        return entry;
    }
    default:
        reader.fail();
        return Entry {};
    }
}

}

json toJSON(const BudgetId& budget) { return json::array({ budget.workspace, budget.budget }); }
json toJSON(const Holder& holder) { return json::array({ holder.host, holder.incarnation }); }
json toJSON(const Outcome& outcome) { return Encoder()(outcome); }
json toJSON(const Entry& entry) { return std::visit(Encoder(), entry); }

BudgetId readBudget(CBOR::FieldReader& reader)
{
    return { reader.name(maximumNameBytes), reader.name(maximumNameBytes) };
}

Holder readHolder(CBOR::FieldReader& reader)
{
    return { reader.name(maximumNameBytes), reader.unsignedNumber() };
}

std::optional<Entry> entryFromJSON(const json& value)
{
    CBOR::FieldReader reader(value);
    int64_t tag = reader.number(INT64_MAX);
    Entry entry = readFields(tag, reader);
    if (!reader.finished())
        return std::nullopt;
    return entry;
}

std::optional<Outcome> outcomeFromJSON(const json& value)
{
    std::optional<Entry> entry = entryFromJSON(value);
    if (!entry || !std::holds_alternative<Outcome>(*entry))
        return std::nullopt;
    return std::get<Outcome>(*entry);
}

json toJSON(const std::vector<Entry>& entries)
{
    json list = json::array();
    for (const Entry& entry : entries)
        list.push_back(toJSON(entry));
    return list;
}

size_t encodedSize(const Entry& entry) { return CBOR::serialise(toJSON(entry)).size(); }

const char* typeName(const Entry& entry)
{
    static const char* const names[] = { "top-up", "grant", "return", "usage", "open attempt", "claim", "outcome", "void", "close holder" };
    return names[entry.index()];
}

std::optional<std::vector<Entry>> entriesFromJSON(const json& list)
{
    if (!list.is_array())
        return std::nullopt;
    std::vector<Entry> entries;
    for (const json& value : list) {
        std::optional<Entry> entry = entryFromJSON(value);
        if (!entry)
            return std::nullopt;
        entries.push_back(std::move(*entry));
    }
    return entries;
}

std::string encodeEntries(const std::vector<Entry>& entries) { return CBOR::serialise(toJSON(entries)); }

std::optional<std::vector<Entry>> decodeEntries(const std::string& bytes)
{
    std::optional<json> value = CBOR::parse(bytes);
    if (!value)
        return std::nullopt;
    return entriesFromJSON(*value);
}

const BudgetId& budgetOf(const Entry& entry)
{
    return std::visit([](const auto& value) -> const BudgetId& { return value.budget; }, entry);
}

}
