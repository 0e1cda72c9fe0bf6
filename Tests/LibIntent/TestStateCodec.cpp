#include "Examples.h"
#include "LibCore/Random.h"
#include "LibIntent/AcceptedNote.h"
#include "LibIntent/StateCodec.h"
#include <criterion/criterion.h>

using namespace Intent;

// Every field and section must be transferred to a starting daemon.
Test(StateCodec, roundTrip)
{
    FleetState state = initialState();
    state.tombstones = { "models/old" };
    state.withdrawnHosts = { "host-9" };
    state.workspaces["orders"].recallGrants = false;
    Core::Reason reason;
    std::optional<FleetState> decoded = StateCodec::decode(StateCodec::encode(state), reason);
    cr_assert(decoded, "%s", reason.text().c_str());
    cr_assert(*decoded == state);
}

// Corrupt bytes from a peer must not make a codec throw.
Test(StateCodec, mutatedBytesNeverThrow)
{
    Core::seedRandom(71);
    std::string state = StateCodec::encode(initialState());
    std::string notes = encodeNotes({ { 1, "id", "ada", 1, initialNote } });
    Core::Reason reason;
    cr_assert_eq(decodeNotes(notes, reason)->at(0).text, initialNote);
    for (int round = 0; round < 20000; ++round) {
        std::string mutated = round % 2 ? state : notes;
        for (size_t edits = 1 + Core::randomBelow(3); edits > 0; --edits)
            mutated[Core::randomBelow(mutated.size())] = static_cast<char>(Core::randomBelow(256));
        StateCodec::decode(mutated, reason);
        decodeNotes(mutated, reason);
    }
}
