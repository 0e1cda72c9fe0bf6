#pragma once

#include "LibCore/Async.h"
#include "LibEmulator/AnswerText.h"
#include <cstdint>
#include <string>

namespace Emulator {

// One answer that the engine generates, independently of its readers.
struct GeneratedStream {
    enum class Phase {
        Queued,
        Running,
        Finished,
        // Stopped by a cancel or by a fault; its readers never see an end marker.
        Cancelled,
    };

    GeneratedStream(const boost::asio::any_io_executor& executor, std::string id, std::string workspace, std::string model, std::string prompt, int64_t maxTokens)
        : id(std::move(id))
        , workspace(std::move(workspace))
        , model(std::move(model))
        , prompt(std::move(prompt))
        , answer(this->prompt, maxTokens)
        , changed(executor)
        , stopped(executor)
    {
    }

    std::string id;
    std::string workspace;
    std::string model;
    std::string prompt;
    AnswerText answer;
    int priority { 0 };
    uint64_t arrival { 0 };
    Phase phase { Phase::Queued };
    // Prompt tokens that count as used: none before the prefill has started.
    int64_t countedPromptTokens { 0 };
    int64_t generatedTokens { 0 };
    // Signalled at each token and at the end.
    Core::Signal changed;
    // Signalled when the generation must stop.
    Core::Signal stopped;

    bool hasEnded() const { return phase == Phase::Finished || phase == Phase::Cancelled; }
};

}
