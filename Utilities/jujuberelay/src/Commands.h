#pragma once

#include <string>
#include <vector>

// The commands of the command line tool. Each receives its positional arguments, starting with its own name, and returns
// the exit code. Flags are defined with gflags in the source file of the command.
namespace Commands {

// Documented exit codes, the same for all commands.
enum ExitCode {
    Success = 0,
    // The arguments, the settings or the note are wrong; nothing was changed.
    InvalidInput = 2,
    // The note conflicts with the state of the fleet or with another operator's earlier note; nothing was changed.
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
// The measurements of `measure`; the first argument is the name of the measurement.
int measureBudget(const Arguments&);
int measureRouting(const Arguments&);
int note(const Arguments&);
int state(const Arguments&);
int history(const Arguments&);
int status(const Arguments&);
int audit(const Arguments&);
int trace(const Arguments&);

// The emulators of `emulate`; the first argument is the name of the emulator.
int emulatePlatform(const Arguments&);
int emulateEngine(const Arguments&);
int emulateService(const Arguments&);

}
