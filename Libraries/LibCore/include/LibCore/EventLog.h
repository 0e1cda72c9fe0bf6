#pragma once

#include <string>

namespace Core {

enum class Severity {
    Debug,
    Info,
    Warning,
    Error,
};

// A numbered log event. The catalogue is docs/events.md; numbers are never reused.
struct Event {
    int number;
    Severity severity;
    const char* name;
};

enum class LogTarget {
    StandardError,
    // Never blocks: lines that the reader does not take are kept up to a limit and then dropped, and the log tells how
    // many were.
    StandardOutput,
};

// Sets up logging with the process name in each line. Call once at the start of main.
void initialiseLog(const std::string& processName, Severity lowest, LogTarget = LogTarget::StandardError);

// Writes "E1042 name: text" to the log.
void logEvent(const Event&, const std::string& text);

// Hands over the last lines. Nothing is logged after it.
void closeLog();

}
