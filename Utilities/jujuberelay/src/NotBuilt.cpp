#include "Commands.h"
#include <cstdio>

// FIXME: These commands have no implementation yet; each moves to a source file of its own.
namespace Commands {

static int notBuilt(const Arguments& arguments)
{
    std::fprintf(stderr, "jujuberelay: '%s' is not implemented yet\n", arguments.front().c_str());
    return InvalidInput;
}

int measureHop(const Arguments& arguments) { return notBuilt(arguments); }
int measureIntent(const Arguments& arguments) { return notBuilt(arguments); }
int measureCapacity(const Arguments& arguments) { return notBuilt(arguments); }

}
