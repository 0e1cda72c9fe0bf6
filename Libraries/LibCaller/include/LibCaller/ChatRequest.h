#pragma once

#include "LibCaller/Refusal.h"
#include "LibIntent/FleetState.h"
#include "LibLedger/Entry.h"
#include <optional>
#include <string>

namespace Caller {

// A checked chat-completions request.
struct ChatRequest {
    std::string model;
    bool isStreaming { false };
    // Upper bound of the tokens that the request can consume.
    Ledger::Tokens tokenBound { 0 };
    // The start of the prompt, for prefix affinity.
    std::string prefix;
    // The body for the engine: always streaming, always with max_tokens.
    std::string engineBody;
    bool operator==(const ChatRequest&) const = default;
};

// Parses and checks a request body, or fills in a refusal that names the field.
std::optional<ChatRequest> parseChatRequest(const std::string& body, const Intent::FleetState&, Refusal&);

}
