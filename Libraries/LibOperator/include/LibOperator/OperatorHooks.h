#pragma once

#include "LibCore/Async.h"
#include "LibCore/Reason.h"
#include "LibIntent/AcceptResult.h"
#include "LibIntent/AcceptedNote.h"
#include "LibIntent/FleetState.h"
#include "LibIntent/NoteLog.h"
#include "LibMembership/Member.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Operator {

// What the operator API asks of the daemon that serves it.
struct OperatorHooks {
    // Submits a note to the platform and adopts it here once it is accepted.
    std::function<Core::Task<Intent::AcceptResult>(Intent::Submission)> acceptNote;
    // The state in force here; null before the daemon has one.
    std::function<std::shared_ptr<const Intent::FleetState>()> state;
    // What changed after a generation; no value if the notes are no longer at hand.
    std::function<std::optional<Intent::Note>(uint64_t from)> changesSince;
    // The accepted notes after a generation, oldest first, at most `limit`.
    std::function<Core::Task<std::optional<std::vector<Intent::AcceptedNote>>>(uint64_t after, size_t limit, Core::Reason&)> history;
    // All known daemons with the generation that each has in force, this one included.
    std::function<std::vector<Membership::Member>()> members;
    // Whether this daemon may dispatch, and why or why not.
    std::function<std::string()> freshness;
    // The audit as a JSON object; see docs/operator-api.md.
    std::function<Core::Task<std::optional<std::string>>(Core::Reason&)> audit;
};

}
