#pragma once

#include "LibCore/Reason.h"
#include "LibIntent/AcceptedNote.h"
#include "LibIntent/Note.h"
#include <optional>
#include <vector>

namespace Intent {

enum class AcceptStatus {
    Accepted,
    // A note with this identity has been accepted before.
    AlreadyAccepted,
    // Another note was accepted for the generation first; nothing was changed.
    Conflict,
    // The note failed validation; nothing was changed.
    Invalid,
    // The platform did not answer. With kind OutcomeUnknown the note may have been accepted; submitting it again
    // with the same identity is safe.
    Failed,
};

// Result of submitting a note.
struct AcceptResult {
    AcceptStatus status { AcceptStatus::Failed };
    // Accepted, AlreadyAccepted: the generation of the note. Conflict: the newest generation.
    uint64_t generation { 0 };
    // Accepted, AlreadyAccepted: the note as stored.
    std::optional<AcceptedNote> note;
    // Conflict: the changes between the generation that the note is based on and the newest.
    std::optional<Note> difference;
    std::vector<NoteError> errors;
    Core::Reason reason;
};

}
