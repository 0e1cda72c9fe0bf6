#include "LibIntent/ApplyNote.h"

#include "NoteChecker.h"

namespace Intent {

void checkNote(const FleetState& state, const Note& note, std::vector<NoteError>& errors)
{
    NoteChecker(state, note, errors).check();
}

std::optional<FleetState> applyNote(const FleetState& state, const Note& note, std::vector<NoteError>& errors)
{
    size_t errorsBefore = errors.size();
    checkNote(state, note, errors);
    if (errors.size() != errorsBefore)
        return std::nullopt;
    FleetState next = state;
    applyNoteUnchecked(next, note);
    return next;
}

template <typename Record>
static void applySection(FleetState& state, const Note& note, const Section<Record>& section)
{
    std::map<std::string, Record>& records = state.*section.inState;
    for (const Record& record : note.added.*section.inNote)
        records.insert_or_assign(nameOf(record), record);
    for (const Record& record : note.changed.*section.inNote) {
        records.insert_or_assign(nameOf(record), record);
        state.tombstones.erase(section.recordKey(nameOf(record)));
    }
    if (section.isAppendOnly())
        return;
    for (const std::string& name : note.withdrawn.*section.withdrawn) {
        records.erase(name);
        state.tombstones.insert(section.recordKey(name));
    }
}

void applyNoteUnchecked(FleetState& state, const Note& note)
{
    forEachSection([&](const auto& section) { applySection(state, note, section); });
    state.withdrawnHosts.insert(note.withdrawn.hosts.begin(), note.withdrawn.hosts.end());
    state.generation = note.fromGeneration + 1;
}

}
