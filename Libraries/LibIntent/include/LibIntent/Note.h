#pragma once

#include "LibIntent/FleetState.h"
#include "LibIntent/NoteError.h"
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Intent {

// Largest note in bytes; leaves room for the other members of the platform object, whose limit is 1 MB.
inline constexpr size_t maxNoteBytes = 900 * 1000;

// Largest number of tokens in one top-up, so that sums of top-ups stay far from the range of int64_t.
inline constexpr int64_t maxTopUpTokens = 1'000'000'000'000'000;

// Records that a note adds or changes, by section.
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

// Names that a note withdraws, by section. Budgets are named "workspace/budget", keys by their SHA-256.
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

// A release note: a set of changes made from one generation of the fleet's state.
struct Note {
    uint64_t fromGeneration { 0 };
    std::string author;
    std::string reason;
    NoteRecords added;
    // Whole records: each replaces the record of the same name, or brings back a withdrawn one.
    NoteRecords changed;
    NoteWithdrawals withdrawn;
    bool operator==(const Note&) const = default;

    bool changesNothing() const;
};

// Lines of a note's records by path, such as "added.budgets.orders/day".
using NoteLines = std::map<std::string, int>;

// Parses a note's YAML text. Appends every error found; without a value if there is any. Never throws.
std::optional<Note> parseNote(std::string_view text, std::vector<NoteError>&, NoteLines* = nullptr);

// As parseNote, for a whole state as printed by stateAsNote, which may be larger than a note.
std::optional<Note> parseStateNote(std::string_view text, std::vector<NoteError>&);

// Fills in the lines of errors that applyNote reported.
void addLines(std::vector<NoteError>&, const NoteLines&);

// Prints the note as YAML that parseNote reads back to an equal note.
std::string printNote(const Note&);

}
