#include "UsageParser.h"

#include <nlohmann/json.hpp>

namespace Endpoint {

using Json = nlohmann::json;

std::optional<UsageCount> parseUsage(std::string_view text)
{
    Json json = Json::parse(text, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    Json::const_iterator usage = json.find("usage");
    if (usage == json.end() || !usage->is_object())
        return std::nullopt;
    Json::const_iterator prompt = usage->find("prompt_tokens");
    Json::const_iterator completion = usage->find("completion_tokens");
    if (prompt == usage->end() || completion == usage->end() || !prompt->is_number_integer() || !completion->is_number_integer())
        return std::nullopt;
    UsageCount count { prompt->get<int64_t>(), completion->get<int64_t>() };
    if (count.promptTokens < 0 || count.completionTokens < 0)
        return std::nullopt;
    return count;
}

}
