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

// Functions of the daemon that the operator API calls.
struct OperatorHooks {
    // Submits a note to the platform and applies it locally once it is accepted.
    std::function<Core::Task<Intent::AcceptResult>(Intent::Submission)> acceptNote;
    // Returns the local state in force, or null if the daemon has none yet.
    std::function<std::shared_ptr<const Intent::FleetState>()> state;
    // Returns the changes since a generation, or nullopt if the notes are no longer available.
    std::function<std::optional<Intent::Note>(uint64_t from)> changesSince;
    // Returns at most `limit` accepted notes after a generation, oldest first.
    std::function<Core::Task<std::optional<std::vector<Intent::AcceptedNote>>>(uint64_t after, size_t limit, Core::Reason&)> history;
    // Returns all known daemons, including this one, with the generation that each has in force.
    std::function<std::vector<Membership::Member>()> members;
    // Describes whether this daemon may dispatch and why.
    std::function<std::string()> freshness;
    // Returns the audit as a JSON object; see docs/operator-api.md.
    std::function<Core::Task<std::optional<std::string>>(Core::Reason&)> audit;
};

}
