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

// What the engine counted for one stream.
struct UsageCount {
    int64_t promptTokens { 0 };
    int64_t completionTokens { 0 };
    int64_t total() const { return promptTokens + completionTokens; }
    bool operator==(const UsageCount&) const = default;
};

struct LoadReport {
    int64_t running { 0 };
    int64_t queued { 0 };
    // Age of the report when the engine sent it.
    int64_t ageMs { 0 };
    bool operator==(const LoadReport&) const = default;
};

struct Dispatch {
    std::string streamId;
    std::string workspace;
    int priority { 0 };
    // The request's JSON body with max_tokens and stream set.
    std::string body;
    // W3C traceparent of this hop; empty for none.
    std::string traceParent;
};

// A running or finished stream of an engine. Destroying it closes the connection; the engine's stream goes on until it
// is cancelled.
class EngineStream {
public:
    virtual ~EngineStream() = default;

    // The next complete SSE events, as raw bytes ready to forward; several may come at once. The events up to but not
    // including the one with the usage and the "[DONE]" marker, which are withheld. Empty: the stream has ended and
    // usage() is set. Fails when the stream broke off, when an event's id is not the stream's, or at the deadline.
    virtual Core::Task<std::optional<std::string>> readEvents(Core::Deadline, Core::Reason&) = 0;

    virtual std::optional<UsageCount> usage() const = 0;

    // The last event of the stream, with the finish reason and usage, as raw bytes. Set when usage() is.
    virtual const std::string& finalEvent() const = 0;

    // Number of events read so far.
    virtual uint64_t eventCount() const = 0;
};

// Talks to model engines.
class EngineClient {
public:
    explicit EngineClient(HTTP::Client&);

    // Sends the request. Unavailable, RateLimited and Refused (by the guard or by the engine's 4xx or 503 answer) mean
    // that it does not run; OutcomeUnknown and TimedOut that it may.
    Core::Task<std::optional<std::unique_ptr<EngineStream>>> dispatch(
        Core::Address, Dispatch, Core::Deadline, HTTP::SendGuard, Core::Reason&);

    // Joins a running or finished stream from its start. NotFound: the engine does not know it.
    Core::Task<std::optional<std::unique_ptr<EngineStream>>> resume(Core::Address, std::string streamId, Core::Deadline, Core::Reason&);

    // Stops a stream and returns what it counted; idempotent. NotFound: the engine does not know it.
    Core::Task<std::optional<UsageCount>> cancel(Core::Address, std::string streamId, Core::Deadline, Core::Reason&);

    Core::Task<std::optional<LoadReport>> load(Core::Address, Core::Deadline, Core::Reason&);

private:
    HTTP::Client& m_client;
};

}
