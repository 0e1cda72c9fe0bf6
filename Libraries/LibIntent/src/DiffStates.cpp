#include "LibIntent/ApplyNote.h"
#include "Sections.h"
#include <algorithm>

namespace Intent {

template <typename Record>
static void diffSection(const FleetState& from, const FleetState& to, const Section<Record>& section, Note& note)
{
    const std::map<std::string, Record>& before = from.*section.inState;
    const std::map<std::string, Record>& after = to.*section.inState;
    for (const auto& [name, record] : after) {
        typename std::map<std::string, Record>::const_iterator old = before.find(name);
        if (old != before.end() && old->second == record)
            continue;
        bool isNew = old == before.end() && !from.tombstones.contains(section.recordKey(name));
        ((isNew ? note.added : note.changed).*section.inNote).push_back(record);
    }
    if (section.isAppendOnly())
        return;
    for (const auto& [name, record] : before) {
        if (!after.contains(name))
            (note.withdrawn.*section.withdrawn).push_back(name);
    }
}

Note diff(const FleetState& from, const FleetState& to)
{
    Note note;
    note.fromGeneration = from.generation;
    note.author = "diff";
    note.reason = "difference between generations " + std::to_string(from.generation) + " and " + std::to_string(to.generation);
    forEachSection([&](const auto& section) { diffSection(from, to, section, note); });
    std::set_difference(to.withdrawnHosts.begin(), to.withdrawnHosts.end(), from.withdrawnHosts.begin(), from.withdrawnHosts.end(),
        std::back_inserter(note.withdrawn.hosts));
    return note;
}

namespace {

// Net change of one record over several notes.
template <typename Record>
struct NetChange {
    bool isNew { false };
    // Null if the record is withdrawn by the last note that names it.
    const Record* record { nullptr };
};

}

template <typename Record>
static void combineSection(const std::vector<Note>& notes, const Section<Record>& section, Note& combined)
{
    std::map<std::string, NetChange<Record>> netChanges;
    for (const Note& note : notes) {
        for (const Record& record : note.added.*section.inNote)
            netChanges.try_emplace(nameOf(record), NetChange<Record> { true, nullptr }).first->second.record = &record;
        for (const Record& record : note.changed.*section.inNote)
            netChanges[nameOf(record)].record = &record;
        if (section.isAppendOnly())
            continue;
        for (const std::string& name : note.withdrawn.*section.withdrawn)
            netChanges[name].record = nullptr;
    }
    for (const auto& [name, netChange] : netChanges) {
        if (netChange.record)
            ((netChange.isNew ? combined.added : combined.changed).*section.inNote).push_back(*netChange.record);
        else if (!netChange.isNew)
            (combined.withdrawn.*section.withdrawn).push_back(name);
    }
}

Note combineNotes(const std::vector<Note>& notes)
{
    Note combined;
    if (notes.empty())
        return combined;
    combined.fromGeneration = notes.front().fromGeneration;
    combined.author = "diff";
    combined.reason = "difference between generations " + std::to_string(combined.fromGeneration) + " and " + std::to_string(notes.back().fromGeneration + 1);
    forEachSection([&](const auto& section) { combineSection(notes, section, combined); });
    for (const Note& note : notes)
        combined.withdrawn.hosts.insert(combined.withdrawn.hosts.end(), note.withdrawn.hosts.begin(), note.withdrawn.hosts.end());
    return combined;
}

template <typename Record>
static void stateSectionAsNote(const FleetState& state, const Section<Record>& section, Note& note)
{
    for (const auto& [name, record] : state.*section.inState)
        (note.added.*section.inNote).push_back(record);
    if (section.isAppendOnly())
        return;
    std::string prefix = section.recordKey("");
    std::set<std::string>::const_iterator it = state.tombstones.lower_bound(prefix);
    for (; it != state.tombstones.end() && it->starts_with(prefix); ++it)
        (note.withdrawn.*section.withdrawn).push_back(it->substr(prefix.size()));
}

Note stateAsNote(const FleetState& state)
{
    Note note;
    note.fromGeneration = state.generation;
    note.author = "state";
    note.reason = "whole state at generation " + std::to_string(state.generation);
    forEachSection([&](const auto& section) { stateSectionAsNote(state, section, note); });
    note.withdrawn.hosts.assign(state.withdrawnHosts.begin(), state.withdrawnHosts.end());
    return note;
}

FleetState stateFromNote(const Note& note)
{
    FleetState state;
    applyNoteUnchecked(state, note);
    state.generation = note.fromGeneration;
    return state;
}

}
