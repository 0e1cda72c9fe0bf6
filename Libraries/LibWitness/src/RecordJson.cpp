#include "RecordJson.h"

#include "LibCore/Cbor.h"

namespace Witness {

using nlohmann::json;

// Nesting limit. The deepest messages contain a list of records with usages.
static constexpr size_t maxDepth = 6;
static constexpr int64_t maxRemainingMs = 366LL * 24 * 3600 * 1000;

json toJson(const Ledger::Holder& holder)
{
    return { { "host", holder.host }, { "incarnation", holder.incarnation } };
}

json toJson(const Ledger::Usage& usage)
{
    return { { "attempt", usage.attemptId }, { "request", usage.requestId }, { "workspace", usage.budget.workspace },
        { "budget", usage.budget.budget }, { "holder", toJson(usage.holder) }, { "tokens", usage.tokens },
        { "complete", usage.kind == Ledger::UsageKind::Complete }, { "ended", usage.endedAtMs } };
}

json toJson(const Record& record)
{
    json value = { { "attempt", record.attemptId }, { "request", record.requestId }, { "workspace", record.budget.workspace },
        { "budget", record.budget.budget }, { "owner", toJson(record.owner) }, { "held", record.tokensHeld },
        { "endpoint", record.endpoint }, { "stream", record.streamId }, { "ms", record.deadline.remaining().count() } };
    if (record.usage)
        value["usage"] = toJson(*record.usage);
    return value;
}

json toJson(const std::vector<Record>& records)
{
    json list = json::array();
    for (const Record& record : records)
        list.push_back(toJson(record));
    return list;
}

std::string stringFrom(const json& value)
{
    return value.get_ref<const std::string&>();
}

int64_t integerFrom(const json& value)
{
    if (!value.is_number_integer())
        throw std::invalid_argument("expected an integer");
    if (value.is_number_unsigned() && value.get<uint64_t>() > INT64_MAX)
        throw std::invalid_argument("integer out of range");
    return value.get<int64_t>();
}

int64_t nonNegativeIntegerFrom(const json& value)
{
    int64_t number = integerFrom(value);
    if (number < 0)
        throw std::invalid_argument("expected a non-negative integer");
    return number;
}

Core::Deadline deadlineFrom(const json& value)
{
    return Core::Deadline::after(std::chrono::milliseconds(std::min(nonNegativeIntegerFrom(value), maxRemainingMs)));
}

Ledger::Holder holderFrom(const json& value)
{
    if (!value.at("incarnation").is_number_unsigned())
        throw std::invalid_argument("expected an unsigned incarnation");
    return { stringFrom(value.at("host")), value.at("incarnation").get<uint64_t>() };
}

Ledger::Usage usageFrom(const json& value)
{
    Ledger::UsageKind kind = value.at("complete").get<bool>() ? Ledger::UsageKind::Complete : Ledger::UsageKind::BrokenOff;
    return { stringFrom(value.at("attempt")), stringFrom(value.at("request")),
        { stringFrom(value.at("workspace")), stringFrom(value.at("budget")) }, holderFrom(value.at("holder")),
        nonNegativeIntegerFrom(value.at("tokens")), kind, integerFrom(value.at("ended")) };
}

Record recordFrom(const json& value)
{
    Record record;
    record.attemptId = stringFrom(value.at("attempt"));
    record.requestId = stringFrom(value.at("request"));
    record.budget = { stringFrom(value.at("workspace")), stringFrom(value.at("budget")) };
    record.owner = holderFrom(value.at("owner"));
    record.tokensHeld = nonNegativeIntegerFrom(value.at("held"));
    record.endpoint = stringFrom(value.at("endpoint"));
    record.streamId = stringFrom(value.at("stream"));
    record.deadline = deadlineFrom(value.at("ms"));
    if (value.contains("usage"))
        record.usage = usageFrom(value.at("usage"));
    return record;
}

std::vector<Record> recordsFrom(const json& value)
{
    std::vector<Record> records;
    for (const json& item : value.get_ref<const json::array_t&>())
        records.push_back(recordFrom(item));
    return records;
}

std::string encode(const json& value)
{
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

std::optional<json> decodeValue(const std::string& bytes)
{
    if (!Core::isPlainCbor(bytes, maxDepth))
        return std::nullopt;
    json value = json::from_cbor(bytes, true, false);
    if (value.is_discarded())
        return std::nullopt;
    return value;
}

std::string encodeRecords(const std::vector<Record>& records)
{
    return encode(toJson(records));
}

std::optional<std::vector<Record>> decodeRecords(const std::string& bytes)
{
    return decode(bytes, recordsFrom);
}

}
