#pragma once

#include <string>
#include <vector>

// The subcommands of the operator command line. Each gets its positional arguments, the subcommand's name first,
// and returns the exit code. Flags are defined with gflags in the command's own source file.
namespace Commands {

// Documented exit codes, the same for all commands.
enum ExitCode {
    Success = 0,
    // The arguments, the settings or the note are wrong; nothing was changed.
    InvalidInput = 2,
    // Another operator's note came first, or the fleet's state contradicts the note; nothing was changed.
    Conflict = 3,
    // The daemon or the platform could not be reached; the message says whether anything was changed.
    Unreachable = 4,
    // Accepted, but not yet in force everywhere; the message names the missing daemons.
    Pending = 5,
    // A check found a violation.
    Violation = 6,
};

using Arguments = std::vector<std::string>;

int emulate(const Arguments&);
int load(const Arguments&);
int measure(const Arguments&);
// The measurements of `measure`; the first argument is the measurement's name.
int measureBudget(const Arguments&);
int measureRouting(const Arguments&);
int note(const Arguments&);
int state(const Arguments&);
int history(const Arguments&);
int status(const Arguments&);
int audit(const Arguments&);
int trace(const Arguments&);

// The kinds of emulators behind `emulate`. The first argument is the kind's name.
int emulatePlatform(const Arguments&);
int emulateEngine(const Arguments&);
int emulateService(const Arguments&);

}
