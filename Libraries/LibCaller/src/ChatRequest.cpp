#include "LibCaller/ChatRequest.h"

#include "LibCore/Saturating.h"
#include "LibCore/Try.h"
#include <nlohmann/json.hpp>

namespace Caller {

using Json = nlohmann::json;

static constexpr size_t maxPrefixBytes = 1024;

static std::nullopt_t refuseField(const char* field, const char* message, Refusal& refusal)
{
    refusal = badRequestRefusal("read field " + std::string(field), message);
    return std::nullopt;
}

// Concatenates the text of all messages, which the engine converts to prompt tokens.
static std::optional<std::string> readPrompt(const Json& body, Refusal& refusal)
{
    Json::const_iterator messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty())
        return refuseField("messages", "expected a list with at least one message", refusal);
    std::string prompt;
    for (const Json& message : *messages) {
        if (!message.is_object() || !message.contains("role") || !message["role"].is_string())
            return refuseField("messages", "each message needs a role", refusal);
        if (!message.contains("content") || !message["content"].is_string())
            return refuseField("messages", "each message needs a content of type string", refusal);
        prompt += message["content"].get_ref<const std::string&>();
    }
    return prompt;
}

// Size of other structured fields such as tools and response formats, which engines add to the prompt.
static size_t structuredBytes(const Json& body)
{
    size_t bytes = 0;
    for (Json::const_iterator field = body.begin(); field != body.end(); ++field) {
        if (field.key() != "messages" && field->is_structured())
            bytes += field->dump(-1, ' ', false, Json::error_handler_t::replace).size();
    }
    return bytes;
}

static std::optional<int64_t> readMaxTokens(const Json& body, const Intent::Model& model, Refusal& refusal)
{
    Json::const_iterator field = body.find("max_tokens");
    if (field == body.end() || field->is_null())
        return model.maxOutputTokens;
    if (!field->is_number_integer() || *field < 1)
        return refuseField("max_tokens", "expected a positive whole number", refusal);
    if (*field > model.maxOutputTokens)
        return refuseField("max_tokens", "larger than the model's limit", refusal);
    return field->get<int64_t>();
}

std::optional<ChatRequest> parseChatRequest(const std::string& text, const Intent::FleetState& state, Refusal& refusal)
{
    Json body = Json::parse(text, nullptr, false);
    if (!body.is_object())
        return refuseField("body", "expected a JSON object", refusal);
    if (!body.contains("model") || !body["model"].is_string())
        return refuseField("model", "expected a string", refusal);
    ChatRequest request;
    request.model = body["model"].get<std::string>();
    std::map<std::string, Intent::Model>::const_iterator model = state.models.find(request.model);
    if (model == state.models.end()) {
        refusal = { "unknown_model", 404, ExecutionStatus::NotRun, "find model", "intent", "no model has the name " + request.model, 0 };
        return std::nullopt;
    }
    if (body.contains("stream") && !body["stream"].is_boolean())
        return refuseField("stream", "expected true or false", refusal);
    if (body.contains("n") && body["n"] != 1)
        return refuseField("n", "only one choice is supported", refusal);
    request.isStreaming = body.value("stream", false);
    std::string prompt = TRY(readPrompt(body, refusal));
    int64_t maxTokens = TRY(readMaxTokens(body, model->second, refusal));
    int64_t bytesPerToken = std::max<int64_t>(1, model->second.bytesPerToken);
    int64_t promptBytes = static_cast<int64_t>(prompt.size() + structuredBytes(body));
    int64_t promptTokens = promptBytes / bytesPerToken + (promptBytes % bytesPerToken != 0 ? 1 : 0);
    request.tokenBound = Core::saturatingAdd(promptTokens, maxTokens);
    request.prefix = prompt.substr(0, maxPrefixBytes);
    body["stream"] = true;
    body["max_tokens"] = maxTokens;
    request.engineBody = body.dump(-1, ' ', false, Json::error_handler_t::replace);
    return request;
}

}
