#pragma once

#include "LibIntent/FleetState.h"
#include "LibIntent/Note.h"
#include <optional>
#include <vector>

namespace Intent {

// Checks the note against the state and appends every error: wrong generation, names that exist already or do not
// exist, withdrawn names that are added again, and references that the resulting state could not resolve.
void checkNote(const FleetState&, const Note&, std::vector<NoteError>&);

// The state of the next generation, or no value if checkNote finds an error.
std::optional<FleetState> applyNote(const FleetState&, const Note&, std::vector<NoteError>&);

// Applies a note that checkNote accepts to the state in place.
void foldNote(FleetState&, const Note&);

// The note that leads from one state to another. Names that were both added and withdrawn between the two states
// are left out.
Note diff(const FleetState& from, const FleetState& to);

// Combines consecutive notes, oldest first, into one that leads from the first note's generation to the state after
// the last. Names that were both added and withdrawn are left out.
Note combineNotes(const std::vector<Note>&);

// The whole state as one note: all records as added, all tombstones and withdrawn hosts as withdrawn.
Note stateAsNote(const FleetState&);

// The inverse of stateAsNote; the generation is the note's fromGeneration. Nothing is checked.
FleetState stateFromNote(const Note&);

}
