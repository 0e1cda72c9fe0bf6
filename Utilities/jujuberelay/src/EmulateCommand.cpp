#include "Commands.h"
#include "EmulateEngineCommand.h"
#include "EmulateServiceCommand.h"
#include <cstdio>
#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:0", "emulate: IP:PORT to listen on; port 0 lets the kernel choose");

// FIXME: Dispatches to the engine and the service only; the platform's emulator comes with its own version of this file.
namespace Commands {

int emulate(const Arguments& arguments)
{
    if (arguments.size() == 2 && arguments[1] == "engine")
        return emulateEngine(arguments);
    if (arguments.size() == 2 && arguments[1] == "service")
        return emulateService(arguments);
    std::fputs("usage: jujuberelay emulate engine|service [--FLAGS]\n", stderr);
    return InvalidInput;
}

}
