#pragma once

#include "LibCore/Deadline.h"
#include "LibCore/Reason.h"
#include "LibCore/Saturating.h"
#include "LibHTTP/Message.h"
#include "LibRelay/Configuration.h"
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Relay {

// A part of a prompt that may be shared with other requests.
struct PromptPart {
    std::string id;
    Tokens tokens { 0 };
    bool operator==(const PromptPart&) const = default;
};

// Upper bound on the tokens that a request consumes.
struct TokenDemand {
    Tokens prompt { 0 };
    Tokens maxOutput { 0 };
    bool operator==(const TokenDemand&) const = default;
    Tokens total() const { return Core::saturatingAdd(prompt, maxOutput); }
};

// A caller's request as decoded by the adapter.
struct CallerRequest {
    // Identifies this request to endpoints, in logs and in billing. A retry by the caller gets a new one.
    std::string id;
    std::string host;
    // The bearer key, if any.
    std::optional<std::string> key;
    // When the caller stops waiting.
    Core::Deadline deadline { Core::Deadline::never() };
    std::optional<TokenDemand> tokens;
    // In prompt order; the last part is specific to the caller's session.
    std::vector<PromptPart> promptParts;
    // Id of the last event that the caller has received.
    std::optional<uint64_t> lastEvent;
    // Id of the caller's earlier request that began the stream, if this one takes it up.
    std::optional<std::string> resumes;
    // Another daemon has passed the request on for its caller.
    bool isRelayed { false };
    // Method, target, body and the headers that are forwarded to the endpoint unchanged.
    HTTP::Request message;
};

// What the relay adds to a request when it sends it to an endpoint.
struct Dispatch {
    std::string endpointId;
    std::string workspace;
    Core::Deadline deadline { Core::Deadline::never() };
    // 0 is the most urgent.
    std::optional<int> urgency;
    // The stream resumes after this event.
    std::optional<uint64_t> lastEvent;
};

// Information from an endpoint's response headers.
struct ResponseMetadata {
    // Id of the request that the response answers; empty if the response names none.
    std::string requestId;
    // The endpoint guarantees that it has not run the request and will not run it.
    bool isNotRun { false };
    // The response carries the endpoint's seal.
    bool isSealed { false };
    // The endpoint's process is leaving and wants no further requests.
    bool isLeaving { false };
    // The endpoint refused the request and wants no further ones from this daemon until then.
    std::optional<Core::Deadline> pausedUntil;
    // Requests a second that the endpoint takes from all daemons together.
    std::optional<double> requestLimit;
    // The endpoint falls over if it has to reject more requests in a second.
    std::optional<double> maxRejections;
    // The rest of the time in which the endpoint is cold; 0 if the answer names none.
    std::chrono::milliseconds coldLeft { 0 };
};

// An engine's report about itself. It is some hundred milliseconds old when it arrives.
struct EngineStatus {
    // Requests that wait for a slot or for memory.
    int64_t queued { 0 };
    // Requests that run.
    int64_t active { 0 };
    // Number of events that each run has generated, by request id; empty if the engine does not list its runs.
    std::optional<std::map<std::string, uint64_t>> eventsByRun;
    bool operator==(const EngineStatus&) const = default;
};

// Translates between a deployment's wire format and the relay's types.
struct WireCodec {
    // Empty with a reason of kind Invalid if the request is malformed.
    std::function<std::optional<CallerRequest>(HTTP::Request, Core::Deadline limit, Core::Reason&)> decodeRequest;
    std::function<HTTP::Request(const CallerRequest&, const Dispatch&)> encodeDispatch;
    // The caller's request as it is passed on through another daemon, with its key and the time left.
    std::function<HTTP::Request(const CallerRequest&, Core::Deadline)> encodeRelayed;
    std::function<ResponseMetadata(unsigned status, const HTTP::Headers&)> decodeResponseMetadata;
    // Headers of an endpoint's response that are forwarded to the caller.
    std::function<HTTP::Headers(const HTTP::Headers&)> callerHeaders;
    // Request for an engine's status. Not set if engines report none.
    std::function<HTTP::Request()> statusRequest {};
    // Empty with a reason of kind Invalid if the body is not a status.
    std::function<std::optional<EngineStatus>(const std::string& body, Core::Reason&)> decodeStatus {};
};

}
