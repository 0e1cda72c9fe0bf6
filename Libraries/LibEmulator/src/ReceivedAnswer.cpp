#include "ReceivedAnswer.h"

namespace Emulator {

using Json = nlohmann::json;

static constexpr std::string_view dataField = "data: ";

// Returns the string at a JSON pointer; empty if there is none.
static std::string textAt(const Json& json, const char* pointer)
{
    Json::json_pointer path(pointer);
    if (!json.contains(path) || !json[path].is_string())
        return "";
    return json[path].get<std::string>();
}

int64_t ReceivedAnswer::appendBytes(std::string_view bytes)
{
    m_buffer += bytes;
    int64_t tokens = 0;
    size_t position = 0;
    size_t end = m_buffer.find("\n\n");
    while (end != std::string::npos) {
        tokens += parseEvent(std::string_view(m_buffer).substr(position, end - position));
        position = end + 2;
        end = m_buffer.find("\n\n", position);
    }
    m_buffer.erase(0, position);
    return tokens;
}

int64_t ReceivedAnswer::parseEvent(std::string_view event)
{
    if (event.starts_with(':'))
        return 0;
    size_t start = event.find(dataField);
    if (start == std::string_view::npos) {
        m_protocolError = "event without a data field";
        return 0;
    }
    std::string_view data = event.substr(start + dataField.size());
    if (m_hasEnded)
        m_protocolError = "event after the end marker";
    if (data == "[DONE]") {
        m_hasEnded = true;
        return 0;
    }
    Json json = Json::parse(data, nullptr, false);
    if (!json.is_object()) {
        m_protocolError = "event data is not a JSON object";
        return 0;
    }
    if (json.contains("error")) {
        m_errorCode = textAt(json, "/error/code");
        return 0;
    }
    return parseChunk(json);
}

int64_t ReceivedAnswer::parseChunk(const Json& json)
{
    std::string id = textAt(json, "/id");
    if (m_id.empty())
        m_id = id;
    if (id.empty() || id != m_id)
        m_protocolError = "chunk has the stream identity '" + id + "' instead of '" + m_id + "'";
    std::string finishReason = textAt(json, "/choices/0/finish_reason");
    if (!finishReason.empty())
        m_finishReason = finishReason;
    parseUsage(json);
    std::string content = textAt(json, "/choices/0/delta/content");
    m_content += content;
    return content.empty() ? 0 : 1;
}

void ReceivedAnswer::parseUsage(const Json& json)
{
    if (!json.contains("usage") || !json["usage"].is_object())
        return;
    m_promptTokens = json["usage"].value("prompt_tokens", int64_t { -1 });
    m_completionTokens = json["usage"].value("completion_tokens", int64_t { -1 });
}

void ReceivedAnswer::setBody(const std::string& body)
{
    m_hasEnded = true;
    Json json = Json::parse(body, nullptr, false);
    if (!json.is_object()) {
        m_protocolError = "response body is not a JSON object";
        return;
    }
    m_id = textAt(json, "/id");
    m_content = textAt(json, "/choices/0/message/content");
    m_finishReason = textAt(json, "/choices/0/finish_reason");
    parseUsage(json);
}

std::string ReceivedAnswer::findMismatch(const AnswerText& expected) const
{
    if (!m_protocolError.empty())
        return m_protocolError;
    std::string expectedText = expected.whole();
    if (!m_hasEnded)
        return expectedText.starts_with(m_content) ? "" : "the received tokens are not a prefix of the expected answer";
    if (m_content != expectedText) {
        return "the received content of " + std::to_string(m_content.size()) + " bytes differs from the expected answer of "
            + std::to_string(expectedText.size()) + " bytes";
    }
    if (m_finishReason != expected.finishReason())
        return "the finish reason is '" + m_finishReason + "' instead of '" + expected.finishReason() + "'";
    if (m_promptTokens != expected.promptTokens() || m_completionTokens != expected.length()) {
        return "the usage is " + std::to_string(m_promptTokens) + " + " + std::to_string(m_completionTokens) + " tokens instead of "
            + std::to_string(expected.promptTokens()) + " + " + std::to_string(expected.length());
    }
    return "";
}

}
