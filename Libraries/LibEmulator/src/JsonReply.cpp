#include "JsonReply.h"

namespace Emulator {

HTTP::Response jsonReply(unsigned status, const nlohmann::json& json)
{
    // Bytes that are not UTF-8 are replaced, because they come from callers and must not end the connection.
    std::string body = json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return { status, { { "Content-Type", "application/json" } }, std::move(body) };
}

HTTP::Response errorReply(unsigned status, const std::string& code, const std::string& message)
{
    return jsonReply(status, { { "error", { { "code", code }, { "message", message } } } });
}

}
