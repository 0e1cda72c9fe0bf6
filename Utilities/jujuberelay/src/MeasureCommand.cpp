#include "Commands.h"
#include "MeasureRoutingCommand.h"
#include <cstdio>

// FIXME: Dispatches to the routing only; the other measurements come with their packages.
namespace Commands {

int measure(const Arguments& arguments)
{
    if (arguments.size() == 2 && arguments[1] == "routing")
        return measureRouting(arguments);
    std::fputs("usage: jujuberelay measure routing [--FLAGS]\n", stderr);
    return InvalidInput;
}

}
