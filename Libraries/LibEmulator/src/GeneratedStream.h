#pragma once

#include "LibCore/Async.h"
#include "LibEmulator/AnswerText.h"
#include <cstdint>
#include <string>

namespace Emulator {

// An answer in generation, which continues independently of its readers.
struct GeneratedStream {
    enum class Phase {
        Queued,
        Running,
        Finished,
        // Stopped by a cancel request or a fault; readers receive no end marker.
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
    // Prompt tokens reported as usage; 0 until the prefill starts.
    int64_t usedPromptTokens { 0 };
    int64_t generatedTokens { 0 };
    // Signalled after each token and at the end.
    Core::Signal changed;
    // Signalled when the stream is cancelled.
    Core::Signal stopped;

    bool hasEnded() const { return phase == Phase::Finished || phase == Phase::Cancelled; }
};

}
