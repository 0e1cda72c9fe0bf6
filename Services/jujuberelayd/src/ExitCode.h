#pragma once

#include "LibCore/EventLog.h"
#include <string>

enum ExitCode {
    Success = 0,
    // The drain limit or a second signal interrupted work in progress.
    ShutdownIncomplete = 1,
    InvalidSettings = 2,
    // An address is in use, or neither a peer nor the platform responded.
    StartFailed = 4,
};

inline Core::Severity severityOf(const std::string& level)
{
    if (level == "debug")
        return Core::Severity::Debug;
    if (level == "warning")
        return Core::Severity::Warning;
    return level == "error" ? Core::Severity::Error : Core::Severity::Info;
}
