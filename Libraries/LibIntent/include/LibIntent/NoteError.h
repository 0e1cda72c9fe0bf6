#pragma once

#include <compare>
#include <string>

namespace Intent {

// A validation error in a release note.
struct NoteError {
    // 1-based line in the text of the note; 0 if the note was not parsed from text.
    int line { 0 };
    // Path of the field, such as "added.budgets[2].workspace" or "added.budgets.orders/day.workspace".
    std::string field;
    std::string reason;
    bool operator==(const NoteError&) const = default;

    // Formats the error as "line 4: added.budgets[2].workspace: reason".
    std::string text() const;
};

}
