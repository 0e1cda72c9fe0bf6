#pragma once

#include "LibCore/Async.h"
#include "LibEmulator/LoadResult.h"
#include "LibEmulator/LoadSettings.h"
#include <memory>

namespace Emulator {

// Sends a fixed number of chat completions and compares each answer with AnswerText, which EngineEmulator generates.
class LoadGenerator {
public:
    // Requires at least one target and a concurrency of at least 1.
    LoadGenerator(const boost::asio::any_io_executor&, LoadSettings);
    ~LoadGenerator();

    // Completes when all requests have ended. Must be called only once.
    Core::Task<LoadResult> run();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

}
