#pragma once

#include <string>

// Runs a relay until it is told to stop. Returns the exit code.
int runRelay(const std::string& settingsPath, bool onlyChecks);
