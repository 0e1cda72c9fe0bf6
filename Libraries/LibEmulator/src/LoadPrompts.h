#pragma once

#include "LibEmulator/LoadSettings.h"
#include <string>

namespace Emulator {

// The prompt of a load's request: a shared prefix and a part of its own. Depends on the settings and the index only.
std::string loadPrompt(const LoadSettings&, int64_t index);

}
