#pragma once

#include <compare>
#include <string>

namespace Intent {

// One error in a release note.
struct NoteError {
    // Line in the note's text, from 1; 0 when the note did not come from a text.
    int line { 0 };
    // Path of the field, such as "added.budgets[2].workspace" or "added.budgets.orders/day.workspace".
    std::string field;
    std::string reason;
    bool operator==(const NoteError&) const = default;

    // Formats the error as "line 4: added.budgets[2].workspace: reason".
    std::string text() const;
};

}
