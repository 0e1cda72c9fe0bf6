#include "Messages.h"

#include "RecordJson.h"

namespace Witness {

using nlohmann::json;

std::string encodeMessage(const OpenRequest& request)
{
    return encode({ { "joins", request.joinExisting }, { "records", toJson(request.records) } });
}

std::optional<OpenRequest> decodeOpenRequest(const std::string& bytes)
{
    return decode(bytes, [](const json& value) {
        return OpenRequest { value.at("joins").get<bool>(), recordsFrom(value.at("records")) };
    });
}

static json toJson(const RecordOpenResult& openResult)
{
    json value = { { "status", static_cast<uint64_t>(openResult.status) } };
    if (openResult.existing)
        value["existing"] = toJson(*openResult.existing);
    return value;
}

static RecordOpenResult recordOpenResultFrom(const json& value)
{
    int64_t status = nonNegativeIntegerFrom(value.at("status"));
    if (status > static_cast<int64_t>(OpenStatus::Draining))
        throw std::invalid_argument("unknown status");
    RecordOpenResult openResult { static_cast<OpenStatus>(status), std::nullopt };
    if (openResult.status == OpenStatus::Existing)
        openResult.existing = recordFrom(value.at("existing"));
    return openResult;
}

std::string encodeMessage(const OpenReply& reply)
{
    json list = json::array();
    for (const RecordOpenResult& openResult : reply.results)
        list.push_back(toJson(openResult));
    return encode(list);
}

std::optional<OpenReply> decodeOpenReply(const std::string& bytes)
{
    return decode(bytes, [](const json& value) {
        OpenReply reply;
        for (const json& item : value.get_ref<const json::array_t&>())
            reply.results.push_back(recordOpenResultFrom(item));
        return reply;
    });
}

std::string encodeMessage(const CloseRequest& request)
{
    return encode({ { "attempt", request.attemptId }, { "usage", toJson(request.usage) } });
}

std::optional<CloseRequest> decodeCloseRequest(const std::string& bytes)
{
    return decode(bytes, [](const json& value) {
        return CloseRequest { stringFrom(value.at("attempt")), usageFrom(value.at("usage")) };
    });
}

std::string encodeMessage(const CloseReply& reply)
{
    json value = json::object();
    if (reply.storedUsage)
        value["kept"] = toJson(*reply.storedUsage);
    return encode(value);
}

std::optional<CloseReply> decodeCloseReply(const std::string& bytes)
{
    return decode(bytes, [](const json& value) {
        CloseReply reply;
        if (value.contains("kept"))
            reply.storedUsage = usageFrom(value.at("kept"));
        else if (!value.is_object())
            throw std::invalid_argument("expected a map");
        return reply;
    });
}

std::string encodeMessage(const LookupRequest& request)
{
    return encode({ { "request", request.requestId }, { "ms", request.joinMs } });
}

std::optional<LookupRequest> decodeLookupRequest(const std::string& bytes)
{
    return decode(bytes, [](const json& value) {
        return LookupRequest { stringFrom(value.at("request")), nonNegativeIntegerFrom(value.at("ms")) };
    });
}

std::string encodeMessage(const LookupReply& reply)
{
    json value = { { "joiners", reply.joiners } };
    if (reply.record)
        value["record"] = toJson(*reply.record);
    return encode(value);
}

std::optional<LookupReply> decodeLookupReply(const std::string& bytes)
{
    return decode(bytes, [](const json& value) {
        LookupReply reply { std::nullopt, nonNegativeIntegerFrom(value.at("joiners")) };
        if (value.contains("record"))
            reply.record = recordFrom(value.at("record"));
        return reply;
    });
}

std::string encodeMessage(const FlushedNotice& notice)
{
    return encode(json(notice.attemptIds));
}

std::optional<FlushedNotice> decodeFlushedNotice(const std::string& bytes)
{
    return decode(bytes, [](const json& value) {
        FlushedNotice notice;
        for (const json& item : value.get_ref<const json::array_t&>())
            notice.attemptIds.push_back(stringFrom(item));
        return notice;
    });
}

std::string encodeMessage(const RecordsOfRequest& request)
{
    return encode(toJson(request.holder));
}

std::optional<RecordsOfRequest> decodeRecordsOfRequest(const std::string& bytes)
{
    return decode(bytes, [](const json& value) { return RecordsOfRequest { holderFrom(value) }; });
}

}
