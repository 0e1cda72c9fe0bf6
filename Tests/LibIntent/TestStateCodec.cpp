#include "Examples.h"
#include "LibCore/Random.h"
#include "LibIntent/AcceptedNote.h"
#include "LibIntent/StateCodec.h"
#include <criterion/criterion.h>

using namespace Intent;

// Guards against a field or section that a starting daemon does not receive.
Test(StateCodec, roundTrip)
{
    FleetState state = foundingState();
    state.tombstones = { "models/old" };
    state.withdrawnHosts = { "host-9" };
    state.workspaces["orders"].recallGrants = false;
    Core::Reason reason;
    std::optional<FleetState> decoded = StateCodec::decode(StateCodec::encode(state), reason);
    cr_assert(decoded, "%s", reason.text().c_str());
    cr_assert(*decoded == state);
}

// Guards against a peer's bytes that make a codec throw.
Test(StateCodec, mutatedBytesNeverThrow)
{
    Core::seedRandom(71);
    std::string state = StateCodec::encode(foundingState());
    std::string notes = encodeNotes({ { 1, "id", "ada", 1, foundingNote } });
    Core::Reason reason;
    cr_assert_eq(decodeNotes(notes, reason)->at(0).text, foundingNote);
    for (int round = 0; round < 20000; ++round) {
        std::string mutated = round % 2 ? state : notes;
        for (size_t edits = 1 + Core::randomBelow(3); edits > 0; --edits)
            mutated[Core::randomBelow(mutated.size())] = static_cast<char>(Core::randomBelow(256));
        StateCodec::decode(mutated, reason);
        decodeNotes(mutated, reason);
    }
}
