#pragma once

#include "LibIntent/FleetState.h"
#include "LibIntent/NoteError.h"
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Intent {

// Maximum size of a note. Leaves room for the other members of the platform object, which is limited to 1 MB.
inline constexpr size_t maxNoteBytes = 900 * 1000;

// Maximum number of tokens per top-up. Keeps sums of top-ups far below the limit of int64_t.
inline constexpr int64_t maxTopUpTokens = 1'000'000'000'000'000;

// Records that a note adds or changes, grouped by section.
struct NoteRecords {
    std::vector<Workspace> workspaces;
    std::vector<Budget> budgets;
    std::vector<TopUp> topUps;
    std::vector<Key> keys;
    std::vector<Model> models;
    std::vector<RoutingRule> routingRules;
    std::vector<Endpoint> endpoints;
    std::vector<Service> services;
    bool operator==(const NoteRecords&) const = default;
};

// Names that a note withdraws, grouped by section. Budgets are named "workspace/budget", keys by their SHA-256.
struct NoteWithdrawals {
    std::vector<std::string> workspaces;
    std::vector<std::string> budgets;
    std::vector<std::string> keys;
    std::vector<std::string> models;
    std::vector<std::string> routingRules;
    std::vector<std::string> endpoints;
    std::vector<std::string> services;
    std::vector<std::string> hosts;
    bool operator==(const NoteWithdrawals&) const = default;
};

// A release note: a set of changes based on one generation of the fleet state.
struct Note {
    uint64_t fromGeneration { 0 };
    std::string author;
    std::string reason;
    NoteRecords added;
    // Complete records. Each replaces the existing record of the same name or restores a withdrawn one.
    NoteRecords changed;
    NoteWithdrawals withdrawn;
    bool operator==(const Note&) const = default;

    bool isEmpty() const;
};

// Line numbers of the records of a note, by path such as "added.budgets.orders/day".
using NoteLines = std::map<std::string, int>;

// Parses a note from YAML. Appends every error found and returns no value if there is any. Never throws.
std::optional<Note> parseNote(std::string_view text, std::vector<NoteError>&, NoteLines* = nullptr);

// Like parseNote, but without the size limit: parses the printed result of stateAsNote.
std::optional<Note> parseStateNote(std::string_view text, std::vector<NoteError>&);

// Sets the line of every error reported by applyNote whose record is listed in NoteLines.
void addLines(std::vector<NoteError>&, const NoteLines&);

// Prints the note as YAML. parseNote parses the result to an equal note.
std::string printNote(const Note&);

}
