#pragma once

#include "LibIntent/FleetState.h"
#include "LibIntent/Note.h"
#include <optional>
#include <vector>

namespace Intent {

// Validates the note against the state and appends every error: a wrong generation, names that already exist or do not
// exist, withdrawn names that are added again, and references that the resulting state could not resolve.
void checkNote(const FleetState&, const Note&, std::vector<NoteError>&);

// Returns the state of the next generation, or no value if checkNote reports an error.
std::optional<FleetState> applyNote(const FleetState&, const Note&, std::vector<NoteError>&);

// Applies a note to the state in place without validating it. For notes that checkNote accepts, and for state notes.
void applyNoteUnchecked(FleetState&, const Note&);

// Returns the note that transforms one state into the other. Records that were both added and withdrawn in between
// are omitted.
Note diff(const FleetState& from, const FleetState& to);

// Merges consecutive notes, oldest first, into a single note with the same net effect. Records that were both added
// and withdrawn are omitted.
Note combineNotes(const std::vector<Note>&);

// Returns the complete state as one note: all records as added, all tombstones and withdrawn hosts as withdrawn.
Note stateAsNote(const FleetState&);

// Inverse of stateAsNote. The generation is taken from fromGeneration; nothing is validated.
FleetState stateFromNote(const Note&);

}
