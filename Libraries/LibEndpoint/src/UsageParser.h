#pragma once

#include "LibEndpoint/EngineClient.h"
#include <optional>
#include <string_view>

namespace Endpoint {

// Reads "usage": {"prompt_tokens", "completion_tokens"} from a JSON object; empty when it is absent or malformed.
std::optional<UsageCount> parseUsage(std::string_view json);

}
