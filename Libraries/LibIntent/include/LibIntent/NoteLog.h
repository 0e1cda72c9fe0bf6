#pragma once

#include "LibCore/Async.h"
#include "LibCore/Deadline.h"
#include "LibIntent/AcceptResult.h"
#include "LibIntent/AcceptedNote.h"
#include "LibIntent/FleetState.h"
#include "LibPlatform/ObjectStore.h"
#include <memory>

namespace Intent {

// Consecutive notes, oldest first, and the store's revision up to which they are complete.
struct NotesRead {
    std::vector<AcceptedNote> notes;
    Platform::Version revision { 0 };
    bool operator==(const NotesRead&) const = default;
};

// A note that an operator submits.
struct Submission {
    // Random; the same for each repetition of one submission.
    std::string identity;
    std::string text;
    bool operator==(const Submission&) const = default;
};

// The sequence of accepted notes on the platform, one object for each generation.
class NoteLog {
public:
    explicit NoteLog(Platform::ObjectStore);

    // Creates the object of the next generation, if the note is valid and no other note has taken the generation.
    // `current` is any state that the caller has in force; notes that it lacks are read.
    Core::Task<AcceptResult> accept(std::shared_ptr<const FleetState> current, Submission, Core::Deadline);

    // Reads all notes of generations above `after`.
    Core::Task<std::optional<NotesRead>> readAfter(uint64_t after, Core::Deadline, Core::Reason&);

    // Waits for notes written after the revision; empty when the deadline passed without one. NotFound: the revision
    // is too old, and the notes must be read again.
    Core::Task<std::optional<NotesRead>> watch(Platform::Version since, Core::Deadline, Core::Reason&);

private:
    Core::Task<std::optional<AcceptedNote>> read(uint64_t generation, Core::Deadline, Core::Reason&);
    Core::Task<AcceptResult> compareWithStored(AcceptedNote stored, std::string identity, AcceptStatus ifSame, Core::Deadline);
    Core::Task<std::optional<AcceptResult>> checkAgainstLog(std::shared_ptr<const FleetState> current, const Note&, Core::Deadline);
    Core::Task<AcceptResult> write(AcceptedNote, Core::Deadline);

    Platform::ObjectStore m_store;
};

}
