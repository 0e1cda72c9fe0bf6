#include "EntryCodec.h"
#include "LibLedger/Limits.h"

namespace Ledger {

using json = nlohmann::json;

static json toJSON(const EntryResult& result)
{
    json value = json::array({ static_cast<int64_t>(result.code), result.cumulativeGranted, result.ungranted, result.activeHolders });
    if (!result.existing)
        return value;
    value.push_back(result.existing->claimant.host);
    value.push_back(result.existing->claimant.incarnation);
    value.push_back(result.existing->outcome ? toJSON(*result.existing->outcome) : json::array());
    return value;
}

static std::optional<EntryResult> resultFromJSON(const json& value)
{
    CBOR::FieldReader reader(value);
    EntryResult result;
    result.code = static_cast<ResultCode>(reader.number(static_cast<int64_t>(ResultCode::Rejected)));
    result.cumulativeGranted = reader.number(maximumCumulativeTokens);
    result.ungranted = reader.number(maximumCumulativeTokens);
    result.activeHolders = static_cast<uint32_t>(reader.number(UINT32_MAX));
    if (reader.finished())
        return result;
    ExistingClaim existing;
    existing.claimant = readHolder(reader);
    const json& outcome = reader.array();
    if (!reader.finished())
        return std::nullopt;
    if (!outcome.empty()) {
        existing.outcome = outcomeFromJSON(outcome);
        if (!existing.outcome)
            return std::nullopt;
    }
    result.existing = std::move(existing);
    return result;
}

std::string encodeResults(const std::vector<EntryResult>& results)
{
    json list = json::array();
    for (const EntryResult& result : results)
        list.push_back(toJSON(result));
    return CBOR::serialise(list);
}

std::optional<std::vector<EntryResult>> decodeResults(const std::string& bytes)
{
    std::optional<json> list = CBOR::parse(bytes);
    if (!list || !list->is_array())
        return std::nullopt;
    std::vector<EntryResult> results;
    for (const json& value : *list) {
        std::optional<EntryResult> result = resultFromJSON(value);
        if (!result)
            return std::nullopt;
        results.push_back(std::move(*result));
    }
    return results;
}

}
