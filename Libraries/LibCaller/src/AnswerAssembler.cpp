#include "AnswerAssembler.h"

#include <nlohmann/json.hpp>

namespace Caller {

using Json = nlohmann::json;

static constexpr std::string_view dataPrefix = "data:";

static Json parseEvent(std::string_view event)
{
    if (!event.starts_with(dataPrefix))
        return Json();
    return Json::parse(event.substr(dataPrefix.size()), nullptr, false);
}

static bool appendContent(const Json& event, std::string& content)
{
    if (!event.is_object() || !event.contains("choices") || !event["choices"].is_array())
        return false;
    for (const Json& choice : event["choices"]) {
        if (choice.contains("delta") && choice["delta"].contains("content") && choice["delta"]["content"].is_string())
            content += choice["delta"]["content"].get_ref<const std::string&>();
    }
    return true;
}

bool AnswerAssembler::addEvents(std::string_view events)
{
    while (!events.empty()) {
        size_t end = events.find("\n\n");
        std::string_view event = events.substr(0, end);
        events.remove_prefix(end == std::string_view::npos ? events.size() : end + 2);
        if (!event.empty() && !appendContent(parseEvent(event), m_content))
            return false;
    }
    return true;
}

std::optional<std::string> AnswerAssembler::finish(std::string_view finalEvent)
{
    Json last = parseEvent(finalEvent.substr(0, finalEvent.find("\n\n")));
    if (!appendContent(last, m_content))
        return std::nullopt;
    Json finishReason = nullptr;
    for (const Json& choice : last["choices"])
        finishReason = choice.value("finish_reason", Json());
    Json answer = {
        { "id", last.value("id", "") },
        { "object", "chat.completion" },
        { "model", last.value("model", "") },
        { "choices", Json::array({ { { "index", 0 }, { "message", { { "role", "assistant" }, { "content", m_content } } }, { "finish_reason", finishReason } } }) },
        { "usage", last.value("usage", Json::object()) },
    };
    return answer.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}
