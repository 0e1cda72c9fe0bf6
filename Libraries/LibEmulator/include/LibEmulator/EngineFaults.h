#pragma once

#include "LibCore/Reason.h"
#include "LibEmulator/FaultCount.h"
#include <cstdint>
#include <optional>
#include <string_view>

namespace Emulator {

// Fault switches of an emulated engine. They apply to all paths except those under /control.
struct EngineFaults {
    // Holds back requests and responses in progress until it is false again. Generation continues.
    bool stopAnswering { false };
    // Number of responses whose connection is closed after breakAfterChunks tokens.
    FaultCount breakStreams;
    // 0 closes the connection before the response starts.
    int64_t breakAfterChunks { 0 };
    // Whether the engine also cancels and removes a stream whose response it interrupted.
    bool loseBrokenStreams { false };
    // Number of POST requests to /v1/chat/completions that are rejected with 503.
    FaultCount refuse;
    // Delay before each request is handled.
    int64_t delayMs { 0 };

    // Parses {"stop_answering", "break_streams", "break_after_chunks", "lose_broken_streams", "refuse", "delay_ms"}.
    // Absent fields keep their current value.
    static std::optional<EngineFaults> parse(std::string_view json, EngineFaults current, Core::Reason&);
};

}
