#pragma once

#include "LibCore/Async.h"
#include "LibCore/Deadline.h"
#include "LibIntent/AcceptResult.h"
#include "LibIntent/AcceptedNote.h"
#include "LibIntent/FleetState.h"
#include "LibPlatform/ObjectStore.h"
#include <memory>

namespace Intent {

// Consecutive notes, oldest first, and the store revision up to which they are complete.
struct NoteBatch {
    std::vector<AcceptedNote> notes;
    Platform::Version revision { 0 };
    bool operator==(const NoteBatch&) const = default;
};

// A note that an operator submits.
struct Submission {
    // Random identifier; retries of a submission must reuse it.
    std::string identity;
    std::string text;
    bool operator==(const Submission&) const = default;
};

// Append-only log of accepted notes on the platform, with one object per generation.
class NoteLog {
public:
    explicit NoteLog(Platform::ObjectStore);

    // Creates the object of the next generation if the note is valid and no other note exists for that generation.
    // `current` may be out of date; missing notes are read from the platform.
    Core::Task<AcceptResult> accept(std::shared_ptr<const FleetState> current, Submission, Core::Deadline);

    // Reads all notes of generations above `after`.
    Core::Task<std::optional<NoteBatch>> readAfter(uint64_t after, Core::Deadline, Core::Reason&);

    // Waits for notes written after the revision; empty if the deadline passes first. Fails with NotFound if the
    // revision is too old, in which case the notes must be read again with readAfter.
    Core::Task<std::optional<NoteBatch>> watch(Platform::Version since, Core::Deadline, Core::Reason&);

private:
    Core::Task<std::optional<AcceptedNote>> read(uint64_t generation, Core::Deadline, Core::Reason&);
    Core::Task<AcceptResult> resolveTakenGeneration(AcceptedNote stored, std::string identity, AcceptStatus statusIfSame, Core::Deadline);
    Core::Task<std::optional<AcceptResult>> validateAgainstBase(std::shared_ptr<const FleetState> current, const Note&, Core::Deadline);
    Core::Task<AcceptResult> write(AcceptedNote, Core::Deadline);

    Platform::ObjectStore m_store;
};

}
