#include "Commands.h"
#include "LibCore/EventLog.h"
#include <cstdio>
#include <gflags/gflags.h>

DEFINE_bool(verbose, false, "log informational events to standard error");

namespace {

struct Command {
    const char* name;
    const char* help;
    int (*run)(const Commands::Arguments&);
};

const Command commands[] = {
    { "emulate", "platform|engine|service: run an emulator for tests and demonstrations", Commands::emulate },
    { "load", "send a fixed number of requests to daemons and check the answers", Commands::load },
    { "measure", "budget|routing: measure and print a table", Commands::measure },
    { "note", "check|diff|apply FILE: work with a release note", Commands::note },
    { "state", "print the intended state as one release note", Commands::state },
    { "history", "print the accepted notes", Commands::history },
    { "status", "print the state and the generation of each daemon", Commands::status },
    { "audit", "compare the ledger with the budgets", Commands::audit },
    { "trace", "REQUEST: print the span tree of one request", Commands::trace },
};

std::string usage()
{
    std::string text = "Operator command line of jujuberelay.\n\nusage: jujuberelay COMMAND [ARGUMENTS] [--FLAGS]\n\n";
    for (const Command& command : commands)
        text += "  " + std::string(command.name) + "  " + command.help + "\n";
    text += "\nexit codes: 0 success, 2 invalid input, 3 conflict, 4 unreachable, 5 accepted but not yet in force\n"
            "everywhere, 6 violation found\n";
    return text;
}

}

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(usage());
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    Core::initialiseLog("jujuberelay", FLAGS_verbose ? Core::Severity::Info : Core::Severity::Warning);
    Commands::Arguments arguments(argv + 1, argv + argc);
    if (arguments.empty()) {
        std::fputs(usage().c_str(), stderr);
        return Commands::InvalidInput;
    }
    for (const Command& command : commands) {
        if (arguments.front() == command.name)
            return command.run(arguments);
    }
    std::fprintf(stderr, "jujuberelay: unknown command '%s'; see jujuberelay --help\n", arguments.front().c_str());
    return Commands::InvalidInput;
}
