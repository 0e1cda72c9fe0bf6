#pragma once

#include "LibCore/Deadline.h"
#include "LibCore/Reason.h"
#include "LibHTTP/Message.h"
#include "LibRelay/Configuration.h"
#include <functional>
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
    Tokens total() const { return prompt + maxOutput; }
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
};

// Translates between a deployment's wire format and the relay's types.
struct WireCodec {
    // Empty with a reason of kind Invalid if the request is malformed.
    std::function<std::optional<CallerRequest>(HTTP::Request, Core::Deadline limit, Core::Reason&)> decodeRequest;
    std::function<HTTP::Request(const CallerRequest&, const Dispatch&)> encodeDispatch;
    std::function<ResponseMetadata(unsigned status, const HTTP::Headers&)> decodeResponseMetadata;
    // Headers of an endpoint's response that are forwarded to the caller.
    std::function<HTTP::Headers(const HTTP::Headers&)> callerHeaders;
};

}
