#include "Commands.h"
#include "RunEmulator.h"
#include <cstdio>

namespace Commands {

namespace {

struct EmulatorKind {
    const char* name;
    int (*run)(const Arguments&);
};

const EmulatorKind emulatorKinds[] = {
    { "platform", emulatePlatform },
    { "engine", emulateEngine },
    { "service", emulateService },
};

}

int emulate(const Arguments& arguments)
{
    Arguments rest(arguments.begin() + 1, arguments.end());
    if (rest.empty()) {
        std::fputs("usage: jujuberelay emulate platform|engine|service [--listen=IP:PORT] [--FLAGS]\n", stderr);
        return InvalidInput;
    }
    for (const EmulatorKind& kind : emulatorKinds) {
        if (rest.front() == kind.name)
            return kind.run(rest);
    }
    std::fprintf(stderr, "jujuberelay: cannot emulate '%s'; expected platform, engine or service\n", rest.front().c_str());
    return InvalidInput;
}

}
