#pragma once

#include "Commands.h"

namespace Commands {

// Runs an emulated plain service until SIGTERM or SIGINT.
int emulateService(const Arguments&);

}
