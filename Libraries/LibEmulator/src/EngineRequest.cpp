#include "LibEmulator/EngineRequest.h"

#include <nlohmann/json.hpp>

namespace Emulator {

using Json = nlohmann::json;

static bool appendContent(const Json& content, std::string& prompt)
{
    if (content.is_string()) {
        prompt += content.get_ref<const std::string&>();
        return true;
    }
    if (!content.is_array())
        return false;
    for (const Json& part : content) {
        if (!part.is_object() || !part.contains("text") || !part["text"].is_string())
            return false;
        prompt += part["text"].get_ref<const std::string&>();
    }
    return true;
}

static bool appendMessages(const Json& messages, std::string& prompt)
{
    for (const Json& message : messages) {
        if (!message.is_object() || !message.contains("content") || !appendContent(message["content"], prompt))
            return false;
    }
    return true;
}

std::optional<EngineRequest> EngineRequest::parse(std::string_view body, Core::Reason& reason)
{
    reason = { Core::FailureKind::Invalid, "parse request", "caller", "" };
    Json json = Json::parse(body, nullptr, false);
    if (!json.is_object()) {
        reason.message = "the body is not a JSON object";
        return std::nullopt;
    }
    EngineRequest request;
    if (!json.contains("model") || !json["model"].is_string()) {
        reason.message = "model: a string is required";
        return std::nullopt;
    }
    request.model = json["model"].get<std::string>();
    if (!json.contains("messages") || !json["messages"].is_array() || !appendMessages(json["messages"], request.prompt)) {
        reason.message = "messages: a list of objects with a content is required";
        return std::nullopt;
    }
    if (json.contains("max_tokens")) {
        if (!json["max_tokens"].is_number_integer() || json["max_tokens"].get<int64_t>() < 1) {
            reason.message = "max_tokens: a positive integer is required";
            return std::nullopt;
        }
        request.maxTokens = json["max_tokens"].get<int64_t>();
    }
    if (json.contains("stream")) {
        if (!json["stream"].is_boolean()) {
            reason.message = "stream: true or false is required";
            return std::nullopt;
        }
        request.isStreamed = json["stream"].get<bool>();
    }
    return request;
}

}
