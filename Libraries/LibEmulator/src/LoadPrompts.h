#pragma once

#include "LibEmulator/LoadSettings.h"
#include <string>

namespace Emulator {

// Returns the prompt of a request: a shared prefix and a unique part. Depends on the settings and the index only.
std::string loadPrompt(const LoadSettings&, int64_t index);

}
