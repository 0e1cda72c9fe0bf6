#pragma once

#include "Commands.h"

namespace Commands {

// Runs an emulated model engine until SIGTERM or SIGINT.
int emulateEngine(const Arguments&);

}
