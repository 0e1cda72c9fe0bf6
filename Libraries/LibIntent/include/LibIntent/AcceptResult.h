#pragma once

#include "LibCore/Reason.h"
#include "LibIntent/AcceptedNote.h"
#include "LibIntent/Note.h"
#include <optional>
#include <vector>

namespace Intent {

enum class AcceptStatus {
    Accepted,
    // A note with this identity was accepted before.
    AlreadyAccepted,
    // Another note took the generation; nothing was changed.
    Lost,
    // The note is wrong; nothing was changed.
    Invalid,
    // The platform did not answer. With kind OutcomeUnknown the note may have been accepted; submitting it again
    // with the same identity is safe.
    Failed,
};

// What became of a submitted note.
struct AcceptResult {
    AcceptStatus status { AcceptStatus::Failed };
    // Accepted, AlreadyAccepted: the note's generation. Lost: the newest generation.
    uint64_t generation { 0 };
    // Accepted, AlreadyAccepted: the note as stored.
    std::optional<AcceptedNote> note;
    // Lost: what changed between the generation that the note was made from and the newest.
    std::optional<Note> difference;
    std::vector<NoteError> errors;
    Core::Reason reason;
};

}
