#include "Frame.h"

#include "LibCore/Cbor.h"
#include <nlohmann/json.hpp>

namespace Peer {

using nlohmann::json;

static json encodeBinary(const std::string& bytes)
{
    return json::binary(std::vector<uint8_t>(bytes.begin(), bytes.end()));
}

static std::string decodeBinary(const json& value)
{
    const json::binary_t& bytes = value.get_binary();
    return std::string(bytes.begin(), bytes.end());
}

static json toJson(const Hello& hello)
{
    return { { "t", "hello" }, { "version", hello.version }, { "host", hello.identity.host },
        { "incarnation", hello.identity.incarnation }, { "domain", hello.identity.failureDomain },
        { "nonce", hello.nonce }, { "proof", hello.proof } };
}

static json toJson(const Proof& proof)
{
    return { { "t", "proof" }, { "proof", proof.proof } };
}

static json toJson(const Refusal& refusal)
{
    return { { "t", "refusal" }, { "message", refusal.message } };
}

static json toJson(const Call& call)
{
    return { { "t", "call" }, { "id", call.id }, { "type", call.type }, { "ms", call.remainingMs }, { "body", encodeBinary(call.body) } };
}

static json toJson(const Notice& notice)
{
    return { { "t", "notice" }, { "type", notice.type }, { "body", encodeBinary(notice.body) } };
}

static json toJson(const Answer& answer)
{
    return { { "t", "answer" }, { "id", answer.id }, { "body", encodeBinary(answer.body) } };
}

static json toJson(const Failure& failure)
{
    return { { "t", "failure" }, { "id", failure.id }, { "message", failure.message } };
}

std::string encodeFrame(const Frame& frame)
{
    json value = std::visit([](const auto& alternative) { return toJson(alternative); }, frame);
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

static std::string decodeString(const json& value)
{
    return value.get_ref<const std::string&>();
}

static uint64_t decodeUnsigned(const json& value)
{
    // get<uint64_t>() would silently convert a negative or fractional number.
    if (!value.is_number_unsigned())
        throw std::invalid_argument("expected an unsigned number");
    return value.get<uint64_t>();
}

static Frame parseFrame(const json& value)
{
    const std::string& type = value.at("t").get_ref<const std::string&>();
    if (type == "call") {
        uint64_t remainingMs = std::min<uint64_t>(decodeUnsigned(value.at("ms")), INT64_MAX);
        return Call { decodeUnsigned(value.at("id")), decodeString(value.at("type")), decodeBinary(value.at("body")), static_cast<int64_t>(remainingMs) };
    }
    if (type == "answer")
        return Answer { decodeUnsigned(value.at("id")), decodeBinary(value.at("body")) };
    if (type == "failure")
        return Failure { decodeUnsigned(value.at("id")), decodeString(value.at("message")) };
    if (type == "notice")
        return Notice { decodeString(value.at("type")), decodeBinary(value.at("body")) };
    if (type == "hello") {
        Identity identity { decodeString(value.at("host")), decodeUnsigned(value.at("incarnation")), decodeString(value.at("domain")) };
        return Hello { decodeUnsigned(value.at("version")), identity, decodeString(value.at("nonce")), decodeString(value.at("proof")) };
    }
    if (type == "proof")
        return Proof { decodeString(value.at("proof")) };
    if (type == "refusal")
        return Refusal { decodeString(value.at("message")) };
    throw std::invalid_argument("unknown frame type");
}

std::optional<Frame> decodeFrame(const std::string& bytes, std::string& message)
{
    if (!Core::isPlainCbor(bytes, 1)) {
        message = "the frame is not one flat CBOR map";
        return std::nullopt;
    }
    try {
        return parseFrame(json::from_cbor(bytes));
    } catch (const std::exception& exception) {
        message = exception.what();
        return std::nullopt;
    }
}

}
