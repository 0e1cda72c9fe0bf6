#pragma once

#include "LibCore/Address.h"
#include "LibCore/Async.h"
#include "LibCore/Reason.h"
#include "LibHTTP/Client.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Endpoint {

// Token counts that the engine reported for one stream.
struct UsageCount {
    int64_t promptTokens { 0 };
    int64_t completionTokens { 0 };
    int64_t total() const { return promptTokens + completionTokens; }
    bool operator==(const UsageCount&) const = default;
};

struct LoadReport {
    int64_t running { 0 };
    int64_t queued { 0 };
    // Age of the measurement at the time the engine sent the report.
    int64_t ageMs { 0 };
    bool operator==(const LoadReport&) const = default;
};

struct Dispatch {
    std::string streamId;
    std::string workspace;
    int priority { 0 };
    // The request's JSON body with max_tokens and stream set.
    std::string body;
    // Value of the W3C traceparent header; not sent when empty.
    std::string traceParent;
};

// A running or finished response stream of an engine. Destroying this object closes the connection but does not cancel
// the stream: the engine keeps generating until EngineClient::cancel is called.
class EngineStream {
public:
    virtual ~EngineStream() = default;

    // Returns one or more complete SSE events as raw bytes that can be forwarded unchanged. The event that carries the
    // usage and the "[DONE]" marker are withheld. Returns an empty string at the end of the stream, when usage() is set.
    // Fails if the stream breaks off, an event has a different id, or the deadline passes.
    virtual Core::Task<std::optional<std::string>> readEvents(Core::Deadline, Core::Reason&) = 0;

    virtual std::optional<UsageCount> usage() const = 0;

    // Raw bytes of the last event, which carries the finish reason and the usage. Set together with usage().
    virtual const std::string& finalEvent() const = 0;

    // Number of forwarded events, excluding comments and the final event.
    virtual uint64_t eventCount() const = 0;
};

// HTTP client for the streaming API of model engines.
class EngineClient {
public:
    explicit EngineClient(HTTP::Client&);

    // Starts a stream. After Unavailable, RateLimited or Refused (by the guard, or by a 4xx or 503 response) the request
    // is known not to run; after OutcomeUnknown or TimedOut it may be running.
    Core::Task<std::optional<std::unique_ptr<EngineStream>>> dispatch(
        Core::Address, Dispatch, Core::Deadline, HTTP::SendGuard, Core::Reason&);

    // Reads a running or finished stream from its first event. Fails with NotFound if the engine has no such stream.
    Core::Task<std::optional<std::unique_ptr<EngineStream>>> resume(Core::Address, std::string streamId, Core::Deadline, Core::Reason&);

    // Stops a stream and returns its token counts. Idempotent. Fails with NotFound if the engine has no such stream.
    Core::Task<std::optional<UsageCount>> cancel(Core::Address, std::string streamId, Core::Deadline, Core::Reason&);

    Core::Task<std::optional<LoadReport>> load(Core::Address, Core::Deadline, Core::Reason&);

private:
    HTTP::Client& m_client;
};

}
