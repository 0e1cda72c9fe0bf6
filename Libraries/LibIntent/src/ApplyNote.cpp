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
    foldNote(next, note);
    return next;
}

template <typename Record>
static void foldSection(FleetState& state, const Note& note, const Section<Record>& section)
{
    std::map<std::string, Record>& records = state.*section.inState;
    for (const Record& record : note.added.*section.inNote)
        records.insert_or_assign(nameOf(record), record);
    for (const Record& record : note.changed.*section.inNote) {
        records.insert_or_assign(nameOf(record), record);
        state.tombstones.erase(section.tombstoneOf(nameOf(record)));
    }
    if (section.canOnlyBeAdded())
        return;
    for (const std::string& name : note.withdrawn.*section.withdrawn) {
        records.erase(name);
        state.tombstones.insert(section.tombstoneOf(name));
    }
}

void foldNote(FleetState& state, const Note& note)
{
    forEachSection([&](const auto& section) { foldSection(state, note, section); });
    state.withdrawnHosts.insert(note.withdrawn.hosts.begin(), note.withdrawn.hosts.end());
    state.generation = note.fromGeneration + 1;
}

}
