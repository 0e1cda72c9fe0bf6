#pragma once

#include "LibCore/Async.h"
#include "LibEmulator/LoadResult.h"
#include "LibEmulator/LoadSettings.h"
#include <memory>

namespace Emulator {

// Sends a bounded load of chat completions and checks each answer against AnswerText, which the engines' emulator uses.
class LoadGenerator {
public:
    // There is at least one target, and the concurrency is at least 1.
    LoadGenerator(const boost::asio::any_io_executor&, LoadSettings);
    ~LoadGenerator();

    // Ends once all requests have ended. Call it once.
    Core::Task<LoadResult> run();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

}
