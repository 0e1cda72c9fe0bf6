#pragma once

#include "LibCore/Reason.h"
#include "LibEmulator/FaultCount.h"
#include <cstdint>
#include <optional>
#include <string_view>

namespace Emulator {

// The faults of an emulated engine. They apply to all paths but those below /control.
struct EngineFaults {
    // Requests and running replies wait until this is false again; streams go on.
    bool stopAnswering { false };
    // Replies whose connection is closed once breakAfterChunks tokens were sent.
    FaultCount breakStreams;
    // 0: the connection is closed before the response starts.
    int64_t breakAfterChunks { 0 };
    // Whether the engine also stops and forgets a stream whose reply it broke.
    bool loseBrokenStreams { false };
    // Posts to /v1/chat/completions that are refused with 503.
    FaultCount refuse;
    // Time before a request is handled.
    int64_t delayMs { 0 };

    // Reads {"stop_answering", "break_streams", "break_after_chunks", "lose_broken_streams", "refuse", "delay_ms"}.
    // Fields that are absent keep the value of current.
    static std::optional<EngineFaults> parse(std::string_view json, EngineFaults current, Core::Reason&);
};

}
