#pragma once

#include "LibCore/Reason.h"
#include "LibHTTP/Message.h"
#include <nlohmann/json.hpp>
#include <string>

namespace Emulator {

HTTP::Response jsonReply(unsigned status, const nlohmann::json&);

// {"error": {"code", "message"}}
HTTP::Response errorReply(unsigned status, const std::string& code, const std::string& message);

}
