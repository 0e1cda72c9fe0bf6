#pragma once

#include <string>

// Runs a relay until it receives SIGTERM or SIGINT and returns the exit code.
int runRelay(const std::string& settingsPath, bool checkOnly);
