#include "Commands.h"
#include <cstdio>

namespace Commands {

namespace {

struct Measurement {
    const char* name;
    int (*run)(const Arguments&);
};

const Measurement measurements[] = {
    { "budget", measureBudget },
    { "routing", measureRouting },
};

}

int measure(const Arguments& arguments)
{
    std::string names;
    for (const Measurement& measurement : measurements) {
        if (arguments.size() >= 2 && arguments[1] == measurement.name)
            return measurement.run(Arguments(arguments.begin() + 1, arguments.end()));
        names += std::string(names.empty() ? "" : "|") + measurement.name;
    }
    std::fprintf(stderr, "usage: jujuberelay measure %s\n"
                         "To measure whole fleets (hop, capacity), run Meta/jujuberelay.sh measure.\n",
        names.c_str());
    return InvalidInput;
}

}
