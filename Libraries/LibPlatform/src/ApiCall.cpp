#include "ApiCall.h"

namespace Platform {

using Core::FailureKind;

static constexpr size_t maxListBytes = 64 * 1024 * 1024;
static constexpr size_t maxMessageBytes = 200;

static bool isWrite(Operation operation)
{
    return operation == Operation::Put || operation == Operation::Remove;
}

static const char* stepOf(Operation operation)
{
    switch (operation) {
    case Operation::Get:
        return "get object";
    case Operation::Put:
        return "put object";
    case Operation::Remove:
        return "remove object";
    case Operation::List:
        return "list objects";
    case Operation::Watch:
        return "watch objects";
    case Operation::Hosts:
        return "list hosts";
    }
    return "call platform";
}

static bool isSuccess(Operation operation, unsigned status)
{
    return status == 200 || (status == 204 && operation == Operation::Remove);
}

static FailureKind kindOf(Operation operation, const HTTP::Request& request, unsigned status)
{
    switch (status) {
    case 400:
    case 413:
    case 431:
        return FailureKind::Invalid;
    case 404:
        if (operation == Operation::Get || operation == Operation::Remove)
            return FailureKind::NotFound;
        // The version that the write expected does not exist.
        if (operation == Operation::Put && HTTP::findHeader(request.headers, "If-Match"))
            return FailureKind::Conflict;
        return FailureKind::Refused;
    case 408:
        // A server that gave up on the request may still have read it.
        return isWrite(operation) ? FailureKind::OutcomeUnknown : FailureKind::Unavailable;
    case 410:
        return operation == Operation::Watch ? FailureKind::NotFound : FailureKind::Refused;
    case 412:
        return isWrite(operation) ? FailureKind::Conflict : FailureKind::Refused;
    case 429:
        return FailureKind::RateLimited;
    case 503:
        return FailureKind::Unavailable;
    default:
        break;
    }
    if (status > 400 && status < 500)
        return FailureKind::Refused;
    // Only 503 promises that nothing was written: 500, 502 or 504 can come from a relay that lost the reply.
    if (isWrite(operation))
        return FailureKind::OutcomeUnknown;
    return status >= 500 ? FailureKind::Unavailable : FailureKind::Invalid;
}

static Core::Reason refusal(Operation operation, const Api& api, const HTTP::Request& request, unsigned status, const Answer& answer)
{
    std::string message = request.target + " was answered with status " + std::to_string(status);
    if (std::optional<std::string> seconds = HTTP::findHeader(answer.headers, "Retry-After"))
        message += ", retry after " + *seconds + " s";
    if (!answer.body.empty())
        message += ": " + answer.body.substr(0, maxMessageBytes);
    return { kindOf(operation, request, status), stepOf(operation), api.address.text(), std::move(message) };
}

// Nothing was sent when connecting failed, and a read has no effect; both count as Unavailable.
static Core::Reason transportFailure(Operation operation, const Api& api, const Core::Reason& cause)
{
    bool mayHaveEffect = isWrite(operation) && cause.kind == FailureKind::OutcomeUnknown;
    return { mayHaveEffect ? FailureKind::OutcomeUnknown : FailureKind::Unavailable, stepOf(operation), api.address.text(),
        cause.step + ": " + cause.message };
}

Core::Task<std::optional<Answer>> callApi(
    Api api, Operation operation, HTTP::Request request, Core::Deadline deadline, Core::Reason& reason)
{
    if (deadline.hasPassed()) {
        reason = { FailureKind::Unavailable, stepOf(operation), api.address.text(), "the deadline had passed before the request was sent" };
        co_return std::nullopt;
    }
    if (!api.clientName.empty())
        request.headers.push_back({ "X-Client", api.clientName });
    Core::Reason cause;
    std::optional<std::unique_ptr<HTTP::ResponseStream>> stream
        = co_await api.client->open(api.address, request, deadline, cause);
    if (!stream) {
        reason = transportFailure(operation, api, cause);
        co_return std::nullopt;
    }
    unsigned status = (*stream)->status();
    Answer answer { (*stream)->headers(), {} };
    std::optional<std::string> body = co_await (*stream)->readAll(maxListBytes, deadline, cause);
    // The status and the ETag decide the outcome of a write; a body that broke off does not change it.
    if (!body && isSuccess(operation, status) && !isWrite(operation)) {
        reason = transportFailure(operation, api, cause);
        co_return std::nullopt;
    }
    answer.body = std::move(body).value_or("");
    if (!isSuccess(operation, status)) {
        reason = refusal(operation, api, request, status, answer);
        co_return std::nullopt;
    }
    co_return answer;
}

}
