#include "LibCaller/Refusal.h"

#include <nlohmann/json.hpp>

namespace Caller {

std::string Refusal::json() const
{
    nlohmann::json error = {
        { "code", code },
        { "ran", ran == ExecutionStatus::NotRun ? "not_run" : "unknown" },
        { "step", step },
        { "peer", peer },
        { "message", message },
    };
    if (retryAfterMs > 0)
        error["retry_after_ms"] = retryAfterMs;
    nlohmann::json body = { { "error", error } };
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HTTP::Response Refusal::response() const
{
    HTTP::Response response;
    response.status = status;
    response.headers.push_back({ "Content-Type", "application/json" });
    if (retryAfterMs > 0)
        response.headers.push_back({ "Retry-After", std::to_string((retryAfterMs + 999) / 1000) });
    response.body = json();
    return response;
}

Refusal badRequestRefusal(std::string step, std::string message)
{
    return { "bad_request", 400, ExecutionStatus::NotRun, std::move(step), "caller", std::move(message), 0 };
}

Refusal notRunRefusal(std::string code, unsigned status, const Core::Reason& reason, int64_t retryAfterMs)
{
    return { std::move(code), status, ExecutionStatus::NotRun, reason.step, reason.peer, reason.message, retryAfterMs };
}

Refusal unknownOutcomeRefusal(std::string code, unsigned status, const Core::Reason& reason, int64_t retryAfterMs)
{
    return { std::move(code), status, ExecutionStatus::Unknown, reason.step, reason.peer, reason.message, retryAfterMs };
}

}
