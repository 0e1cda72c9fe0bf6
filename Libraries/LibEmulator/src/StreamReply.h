#pragma once

#include "EngineState.h"
#include "LibHTTP/ResponseWriter.h"
#include <memory>
#include <nlohmann/json.hpp>

namespace Emulator {

// {"prompt_tokens", "completion_tokens", "total_tokens"}
nlohmann::json usageOf(const GeneratedStream&);

// Sends the chunks starting at an index as server-sent events, followed by the usage and "[DONE]" once the stream has
// finished.
Core::Task<void> replyWithEventStream(std::shared_ptr<EngineEmulator::State>, std::shared_ptr<GeneratedStream>, int64_t from, HTTP::ResponseWriter&);

// Sends the complete answer as one JSON body once the stream has finished.
Core::Task<void> replyWithCompletion(std::shared_ptr<EngineEmulator::State>, std::shared_ptr<GeneratedStream>, HTTP::ResponseWriter&);

}
