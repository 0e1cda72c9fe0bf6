#pragma once

#include "EngineState.h"
#include "LibHTTP/ResponseWriter.h"
#include <memory>
#include <nlohmann/json.hpp>

namespace Emulator {

// {"prompt_tokens", "completion_tokens", "total_tokens"}
nlohmann::json usageOf(const GeneratedStream&);

// Sends the stream's chunks from an index on as server-sent events, and its usage and "[DONE]" once it has finished.
Core::Task<void> replyWithEvents(std::shared_ptr<EngineEmulator::State>, std::shared_ptr<GeneratedStream>, int64_t from, HTTP::ResponseWriter&);

// Sends the whole answer once the stream has finished.
Core::Task<void> replyWithWhole(std::shared_ptr<EngineEmulator::State>, std::shared_ptr<GeneratedStream>, HTTP::ResponseWriter&);

}
