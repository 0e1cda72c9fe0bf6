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

// A part of a prompt that other requests may share.
struct PromptPart {
    std::string id;
    Tokens tokens { 0 };
    bool operator==(const PromptPart&) const = default;
};

// Tokens that a request may consume.
struct TokenDemand {
    Tokens prompt { 0 };
    Tokens maxOutput { 0 };
    bool operator==(const TokenDemand&) const = default;
    Tokens total() const { return prompt + maxOutput; }
};

// A request as the adapter decoded it.
struct CallerRequest {
    // Identifies this request to endpoints, logs and bills; a caller's retry has another one.
    std::string id;
    std::string host;
    // The bearer key, if any.
    std::optional<std::string> key;
    // When the caller stops waiting.
    Core::Deadline deadline { Core::Deadline::never() };
    std::optional<TokenDemand> tokens;
    // In the prompt's order; the last one belongs to the caller's session.
    std::vector<PromptPart> promptParts;
    // The last event that the caller already has.
    std::optional<uint64_t> lastEvent;
    // Method, target, body and the headers that go to the endpoint unchanged.
    HTTP::Request message;
};

// What a dispatch adds to a request.
struct Dispatch {
    std::string endpointId;
    std::string workspace;
    Core::Deadline deadline { Core::Deadline::never() };
    // 0 is the most urgent.
    std::optional<int> urgency;
    // The stream goes on after this event.
    std::optional<uint64_t> lastEvent;
};

// What an endpoint's response headers say besides its status.
struct ResponseMetadata {
    // The request that the response answers; empty when it names none.
    std::string requestId;
    // The endpoint states that it did not run the request and never will.
    bool isNotRun { false };
    // The endpoint vouches for the answer.
    bool isSealed { false };
};

// Translates between the wire of a deployment and the relay.
struct WireCodec {
    // Empty with a reason of kind Invalid when the request cannot be read.
    std::function<std::optional<CallerRequest>(HTTP::Request, Core::Deadline limit, Core::Reason&)> decodeRequest;
    std::function<HTTP::Request(const CallerRequest&, const Dispatch&)> encodeDispatch;
    std::function<ResponseMetadata(unsigned status, const HTTP::Headers&)> decodeResponseMetadata;
    // Headers of an endpoint's response that go to the caller.
    std::function<HTTP::Headers(const HTTP::Headers&)> callerHeaders;
};

}
