#pragma once

#include "LibEndpoint/EngineClient.h"
#include <optional>
#include <string_view>

namespace Endpoint {

// Parses the "usage" member with "prompt_tokens" and "completion_tokens" of a JSON object. Returns nullopt if it is
// missing or malformed.
std::optional<UsageCount> parseUsage(std::string_view json);

}
