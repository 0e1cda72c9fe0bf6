#include "LibEndpoint/EngineClient.h"

#include "SSEEngineStream.h"
#include "UsageParser.h"
#include <nlohmann/json.hpp>

namespace Endpoint {

using Json = nlohmann::json;
using Core::FailureKind;

static constexpr size_t maxErrorBytes = 64 * 1024;
static constexpr size_t maxErrorMessageBytes = 300;

static FailureKind failureKindOf(unsigned status)
{
    if (status == 429)
        return FailureKind::RateLimited;
    if (status == 404)
        return FailureKind::NotFound;
    if (status == 503 || (status >= 400 && status < 500))
        return FailureKind::Refused;
    return FailureKind::OutcomeUnknown;
}

static Core::Reason reasonFromStatus(const char* step, const Core::Address& address, unsigned status, const std::string& body)
{
    return { failureKindOf(status), step, address.text(), "HTTP status " + std::to_string(status) + ": " + body.substr(0, maxErrorMessageBytes) };
}

// Validates the status and the X-Stream-Id header, then wraps the response in a stream.
static Core::Task<std::optional<std::unique_ptr<EngineStream>>> openStream(
    std::unique_ptr<HTTP::ResponseStream> response, const char* step, Core::Address address, std::string streamId, Core::Deadline deadline, Core::Reason& reason)
{
    if (response->status() != 200) {
        Core::Reason ignored;
        std::optional<std::string> body = co_await response->readAll(maxErrorBytes, deadline, ignored);
        reason = reasonFromStatus(step, address, response->status(), body.value_or(""));
        co_return std::nullopt;
    }
    if (HTTP::findHeader(response->headers(), "X-Stream-Id") != streamId) {
        reason = { FailureKind::OutcomeUnknown, step, address.text(), "the X-Stream-Id header of the response does not match the requested stream" };
        co_return std::nullopt;
    }
    co_return std::make_unique<SSEEngineStream>(std::move(response), std::move(streamId), address.text());
}

EngineClient::EngineClient(HTTP::Client& client)
    : m_client(client)
{
}

Core::Task<std::optional<std::unique_ptr<EngineStream>>> EngineClient::dispatch(
    Core::Address address, Dispatch dispatch, Core::Deadline deadline, HTTP::SendGuard guard, Core::Reason& reason)
{
    HTTP::Request request { "POST", "/v1/chat/completions",
        { { "Content-Type", "application/json" }, { "X-Stream-Id", dispatch.streamId }, { "X-Workspace", dispatch.workspace },
            { "X-Priority", std::to_string(dispatch.priority) } },
        std::move(dispatch.body) };
    if (!dispatch.traceParent.empty())
        request.headers.push_back({ "traceparent", dispatch.traceParent });
    bool wasSent = false;
    HTTP::SendGuard recordingGuard = [&wasSent, &guard]() {
        wasSent = !guard || guard();
        return wasSent;
    };
    HTTP::CallOptions options;
    options.guard = std::move(recordingGuard);
    std::optional<std::unique_ptr<HTTP::ResponseStream>> response
        = co_await m_client.call(address, std::move(request), deadline, std::move(options), reason);
    if (!response) {
        // The connection timed out before the request was sent.
        if (!wasSent && reason.kind == FailureKind::TimedOut)
            reason.kind = FailureKind::Unavailable;
        co_return std::nullopt;
    }
    std::optional<std::unique_ptr<EngineStream>> stream
        = co_await openStream(std::move(*response), "dispatch", address, std::move(dispatch.streamId), deadline, reason);
    // 404 on dispatch means that the engine does not serve the model or the path, not that a stream is missing.
    if (!stream && reason.kind == FailureKind::NotFound)
        reason.kind = FailureKind::Refused;
    co_return stream;
}

Core::Task<std::optional<std::unique_ptr<EngineStream>>> EngineClient::resume(
    Core::Address address, std::string streamId, Core::Deadline deadline, Core::Reason& reason)
{
    HTTP::Request request { "GET", "/v1/streams/" + HTTP::encodeComponent(streamId) + "?from=0", {}, "" };
    std::optional<std::unique_ptr<HTTP::ResponseStream>> response = co_await m_client.open(address, std::move(request), deadline, reason);
    if (!response)
        co_return std::nullopt;
    co_return co_await openStream(std::move(*response), "resume", address, std::move(streamId), deadline, reason);
}

Core::Task<std::optional<UsageCount>> EngineClient::cancel(Core::Address address, std::string streamId, Core::Deadline deadline, Core::Reason& reason)
{
    HTTP::Request request { "POST", "/v1/streams/" + HTTP::encodeComponent(streamId) + "/cancel", {}, "" };
    std::optional<HTTP::Response> response = co_await m_client.roundTrip(address, std::move(request), deadline, reason);
    if (!response)
        co_return std::nullopt;
    if (response->status != 200) {
        reason = reasonFromStatus("cancel", address, response->status, response->body);
        co_return std::nullopt;
    }
    std::optional<UsageCount> usage = parseUsage(response->body);
    if (!usage)
        reason = { FailureKind::OutcomeUnknown, "cancel", address.text(), "the response has no valid usage object" };
    co_return usage;
}

Core::Task<std::optional<LoadReport>> EngineClient::load(Core::Address address, Core::Deadline deadline, Core::Reason& reason)
{
    std::optional<HTTP::Response> response = co_await m_client.roundTrip(address, { "GET", "/v1/load", {}, "" }, deadline, reason);
    if (!response)
        co_return std::nullopt;
    if (response->status != 200) {
        reason = reasonFromStatus("read load", address, response->status, response->body);
        co_return std::nullopt;
    }
    Json json = Json::parse(response->body, nullptr, false);
    if (!json.is_object()) {
        reason = { FailureKind::Invalid, "read load", address.text(), "the load report is not a JSON object" };
        co_return std::nullopt;
    }
    LoadReport report;
    for (const std::pair<const char*, int64_t*>& field : { std::pair { "running", &report.running }, std::pair { "queued", &report.queued }, std::pair { "age_ms", &report.ageMs } }) {
        if (!json.contains(field.first) || !json[field.first].is_number_integer()) {
            reason = { FailureKind::Invalid, "read load", address.text(), "the load report has no integer field " + std::string(field.first) };
            co_return std::nullopt;
        }
        *field.second = json[field.first].get<int64_t>();
    }
    co_return report;
}

}
