#pragma once

#include "Commands.h"

namespace Commands {

// Compares the endpoint chooser with round robin and least-requests in a replay.
int measureRouting(const Arguments&);

}
