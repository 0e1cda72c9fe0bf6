#pragma once

#include "LibCore/Reason.h"
#include "LibEmulator/FaultCount.h"
#include <cstdint>
#include <optional>
#include <string_view>

namespace Emulator {

// The faults of an emulated plain service.
struct ServiceFaults {
    // Calls whose connection is closed after they ran.
    FaultCount closeAfterRun;
    // Calls whose connection is closed before they run.
    FaultCount closeBeforeRun;
    // Calls that are refused with 503 and do not run.
    FaultCount refuse;
    // Time between a call's arrival and its run.
    int64_t delayMs { 0 };

    // Reads {"close_after_run", "close_before_run", "refuse", "delay_ms"}. Fields that are absent keep the value of
    // current.
    static std::optional<ServiceFaults> parse(std::string_view json, ServiceFaults current, Core::Reason&);
};

}
