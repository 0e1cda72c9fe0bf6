#include "LibIntent/NoteLog.h"

#include "LibCore/Random.h"
#include "LibIntent/ApplyNote.h"
#include <algorithm>

namespace Intent {

using Core::FailureKind;

// Notes are listed in blocks of generations that share a prefix of the object name, so that one call reads many notes
// but never the whole history.
static constexpr uint64_t blockSize = 100;
static constexpr size_t blockDigits = 2;

static std::string blockPrefixOf(uint64_t generation)
{
    std::string name = objectNameOf(generation);
    return name.substr(0, name.size() - blockDigits);
}

static int64_t wallClockUnixMs()
{
    std::chrono::system_clock::duration now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

static AcceptResult failed(Core::Reason reason)
{
    AcceptResult result;
    result.reason = std::move(reason);
    return result;
}

static AcceptResult invalid(std::vector<NoteError> errors)
{
    AcceptResult result;
    result.status = AcceptStatus::Invalid;
    result.errors = std::move(errors);
    return result;
}

NoteLog::NoteLog(Platform::ObjectStore store)
    : m_store(std::move(store))
{
}

Core::Task<std::optional<AcceptedNote>> NoteLog::read(uint64_t generation, Core::Deadline deadline, Core::Reason& reason)
{
    std::optional<Platform::Object> object = co_await m_store.get(objectNameOf(generation), deadline, reason);
    if (!object)
        co_return std::nullopt;
    co_return decodeNoteObject(generation, object->value, reason);
}

Core::Task<std::optional<NoteBatch>> NoteLog::readAfter(uint64_t after, Core::Deadline deadline, Core::Reason& reason)
{
    NoteBatch read;
    uint64_t next = after + 1;
    bool isBlockFull = true;
    while (isBlockFull) {
        uint64_t first = next;
        std::optional<Platform::Listing> listing = co_await m_store.list(blockPrefixOf(next), deadline, reason);
        if (!listing)
            co_return std::nullopt;
        read.revision = listing->revision;
        std::map<uint64_t, const Platform::Object*> byGeneration;
        for (const Platform::Object& object : listing->objects) {
            if (std::optional<uint64_t> generation = generationOf(object.name))
                byGeneration.emplace(*generation, &object);
        }
        std::map<uint64_t, const Platform::Object*>::const_iterator it = byGeneration.lower_bound(next);
        for (; it != byGeneration.end() && it->first == next; ++it, ++next) {
            std::optional<AcceptedNote> note = decodeNoteObject(next, it->second->value, reason);
            if (!note)
                co_return std::nullopt;
            read.notes.push_back(std::move(*note));
        }
        if (it != byGeneration.end()) {
            reason = { FailureKind::Invalid, "read notes", "platform", "the note of generation " + std::to_string(next) + " is missing" };
            co_return std::nullopt;
        }
        isBlockFull = next > first && next % blockSize == 0;
    }
    co_return read;
}

Core::Task<std::optional<NoteBatch>> NoteLog::watch(Platform::Version since, Core::Deadline deadline, Core::Reason& reason)
{
    std::optional<Platform::Changes> changes = co_await m_store.watch("intent/note-", since, deadline, reason);
    if (!changes)
        co_return std::nullopt;
    NoteBatch read;
    read.revision = changes->revision;
    for (const Platform::Change& change : changes->changes) {
        std::optional<uint64_t> generation = generationOf(change.object.name);
        if (!generation || change.isDeleted)
            continue;
        std::optional<AcceptedNote> note = decodeNoteObject(*generation, change.object.value, reason);
        if (!note)
            co_return std::nullopt;
        read.notes.push_back(std::move(*note));
    }
    std::sort(read.notes.begin(), read.notes.end(), [](const AcceptedNote& a, const AcceptedNote& b) { return a.generation < b.generation; });
    co_return read;
}

Core::Task<AcceptResult> NoteLog::accept(std::shared_ptr<const FleetState> current, Submission submission, Core::Deadline deadline)
{
    std::vector<NoteError> errors;
    NoteLines lines;
    std::optional<Note> note = parseNote(submission.text, errors, &lines);
    if (!note)
        co_return invalid(std::move(errors));

    // A note can only be accepted as the successor of the generation that it is based on, so reading this one object
    // suffices to detect a repeated submission.
    uint64_t generation = note->fromGeneration + 1;
    Core::Reason reason;
    std::optional<AcceptedNote> stored = co_await read(generation, deadline, reason);
    if (stored)
        co_return co_await resolveTakenGeneration(std::move(*stored), submission.identity, AcceptStatus::AlreadyAccepted, deadline);
    if (reason.kind != FailureKind::NotFound)
        co_return failed(reason);

    std::optional<AcceptResult> refused = co_await validateAgainstBase(current, *note, deadline);
    if (refused) {
        addLines(refused->errors, lines);
        co_return std::move(*refused);
    }
    co_return co_await write({ generation, submission.identity, note->author, wallClockUnixMs(), submission.text }, deadline);
}

// Returns the result for a generation whose note already exists, written by this submission or by another one.
Core::Task<AcceptResult> NoteLog::resolveTakenGeneration(AcceptedNote stored, std::string identity, AcceptStatus statusIfSame, Core::Deadline deadline)
{
    AcceptResult result;
    if (stored.identity == identity) {
        result.status = statusIfSame;
        result.generation = stored.generation;
        result.note = std::move(stored);
        co_return result;
    }
    result.status = AcceptStatus::Conflict;
    result.generation = stored.generation;
    std::optional<NoteBatch> since = co_await readAfter(stored.generation - 1, deadline, result.reason);
    if (!since || since->notes.empty())
        co_return result;
    std::vector<Note> notes;
    for (const AcceptedNote& accepted : since->notes) {
        std::vector<NoteError> ignored;
        if (std::optional<Note> note = parseNote(accepted.text, ignored))
            notes.push_back(std::move(*note));
    }
    result.generation = since->notes.back().generation;
    result.difference = combineNotes(notes);
    co_return result;
}

// Validates the note against the state of the generation that it is based on. Returns no value if the note is valid.
Core::Task<std::optional<AcceptResult>> NoteLog::validateAgainstBase(std::shared_ptr<const FleetState> current, const Note& note, Core::Deadline deadline)
{
    std::vector<NoteError> errors;
    if (current->generation >= note.fromGeneration) {
        checkNote(*current, note, errors);
        co_return errors.empty() ? std::nullopt : std::optional(invalid(std::move(errors)));
    }
    Core::Reason reason;
    std::optional<NoteBatch> missing = co_await readAfter(current->generation, deadline, reason);
    if (!missing)
        co_return failed(reason);
    FleetState state = *current;
    for (const AcceptedNote& accepted : missing->notes) {
        std::optional<Note> next = parseNote(accepted.text, errors);
        if (!next)
            co_return failed({ FailureKind::Invalid, "read notes", "platform", "the accepted note of generation " + std::to_string(accepted.generation) + " cannot be parsed" });
        applyNoteUnchecked(state, *next);
    }
    checkNote(state, note, errors);
    co_return errors.empty() ? std::nullopt : std::optional(invalid(std::move(errors)));
}

Core::Task<AcceptResult> NoteLog::write(AcceptedNote note, Core::Deadline deadline)
{
    std::string value = encodeNoteObject(note);
    Core::Reason reason;
    bool mayHaveBeenWritten = false;
    while (true) {
        std::optional<Platform::Version> version = co_await m_store.put(objectNameOf(note.generation), value, 0, deadline, reason);
        if (version) {
            AcceptResult result;
            result.status = AcceptStatus::Accepted;
            result.generation = note.generation;
            result.note = std::move(note);
            co_return result;
        }
        if (reason.kind == FailureKind::OutcomeUnknown || reason.kind == FailureKind::TimedOut)
            mayHaveBeenWritten = true;
        if (reason.kind == FailureKind::Refused || reason.kind == FailureKind::Invalid)
            co_return failed(reason);
        if (reason.kind == FailureKind::Conflict || mayHaveBeenWritten) {
            Core::Reason readReason;
            std::optional<AcceptedNote> stored = co_await read(note.generation, deadline, readReason);
            if (stored)
                co_return co_await resolveTakenGeneration(std::move(*stored), note.identity, AcceptStatus::Accepted, deadline);
        }
        if (deadline.hasPassed())
            break;
        // A write whose reply was lost may still take effect later. Repeating the conditional create with the same
        // identity is idempotent and yields a definite result.
        Core::Deadline retryAt = Core::Deadline::after(std::chrono::milliseconds(20 + Core::randomBelow(80)));
        co_await Core::sleepUntil(std::min(retryAt, deadline));
    }
    if (mayHaveBeenWritten)
        co_return failed({ FailureKind::OutcomeUnknown, "write note", "platform", "the note may have been accepted as generation " + std::to_string(note.generation) + "; submit it again with the same identity" });
    co_return failed({ FailureKind::Unavailable, "write note", "platform", "nothing was changed: " + reason.message });
}

}
