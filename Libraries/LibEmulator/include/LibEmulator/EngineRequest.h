#pragma once

#include "LibCore/Reason.h"
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Emulator {

// The fields of a chat-completions request that the emulated engine uses.
struct EngineRequest {
    std::string model;
    // The concatenated contents of all messages.
    std::string prompt;
    int64_t maxTokens { 16 };
    bool isStreamed { false };

    bool operator==(const EngineRequest&) const = default;

    // Fails with Invalid and the name of the malformed field.
    static std::optional<EngineRequest> parse(std::string_view body, Core::Reason&);
};

}
