#include "JsonReply.h"

namespace Emulator {

HTTP::Response jsonReply(unsigned status, const nlohmann::json& json)
{
    // Invalid UTF-8 from clients is replaced: dump() would throw otherwise, which closes the connection.
    std::string body = json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return { status, { { "Content-Type", "application/json" } }, std::move(body) };
}

HTTP::Response errorReply(unsigned status, const std::string& code, const std::string& message)
{
    return jsonReply(status, { { "error", { { "code", code }, { "message", message } } } });
}

}
