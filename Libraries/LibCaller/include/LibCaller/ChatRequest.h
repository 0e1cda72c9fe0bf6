#pragma once

#include "LibCaller/Refusal.h"
#include "LibIntent/FleetState.h"
#include "LibLedger/Entry.h"
#include <optional>
#include <string>

namespace Caller {

// A validated chat completions request.
struct ChatRequest {
    std::string model;
    bool isStreaming { false };
    // Upper bound on the prompt and output tokens.
    Ledger::Tokens tokenBound { 0 };
    // The start of the prompt, for prefix affinity.
    std::string prefix;
    // Request body for the engine, with streaming enabled and max_tokens set.
    std::string engineBody;
    bool operator==(const ChatRequest&) const = default;
};

// Parses and validates a request body. On failure, sets a refusal that names the invalid field.
std::optional<ChatRequest> parseChatRequest(const std::string& body, const Intent::FleetState&, Refusal&);

}
