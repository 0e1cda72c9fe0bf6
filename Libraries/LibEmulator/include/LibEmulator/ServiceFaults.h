#pragma once

#include "LibCore/Reason.h"
#include "LibEmulator/FaultCount.h"
#include <cstdint>
#include <optional>
#include <string_view>

namespace Emulator {

// Fault switches of an emulated service.
struct ServiceFaults {
    // Number of calls whose connection is closed after they were executed.
    FaultCount closeAfterRun;
    // Number of calls whose connection is closed before they are executed.
    FaultCount closeBeforeRun;
    // Number of calls that are rejected with 503 without being executed.
    FaultCount refuse;
    // Delay between the arrival of a call and its execution.
    int64_t delayMs { 0 };

    // Parses {"close_after_run", "close_before_run", "refuse", "delay_ms"}. Absent fields keep their current value.
    static std::optional<ServiceFaults> parse(std::string_view json, ServiceFaults current, Core::Reason&);
};

}
