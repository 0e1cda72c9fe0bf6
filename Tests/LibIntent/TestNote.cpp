#include "Examples.h"

#include "LibCore/Random.h"
#include <algorithm>
#include <criterion/criterion.h>

using namespace Intent;

static bool hasError(const std::vector<NoteError>& errors, int line, const std::string& field, const std::string& reasonPart)
{
    return std::any_of(errors.begin(), errors.end(), [&](const NoteError& error) {
        return error.line == line && error.field == field && error.reason.find(reasonPart) != std::string::npos;
    });
}

// No field may be lost or renamed between printing and parsing.
Test(Note, printedNoteParsesToEqualNote)
{
    Note note = parsed(initialNote);
    cr_assert_eq(note.added.endpoints.size(), 2u);
    cr_assert_eq(note.added.endpoints[1].slots, 8);
    cr_assert(note.added.endpoints[0].checksFencing);
    cr_assert_eq(note.added.models[0].bytesPerToken, 2);
    note.author = "a \"quoted\": name # with 'signs'";
    note.reason = "two\nlines, \xc3\xa9";
    note.withdrawn.hosts = { "h1", "null", "true", "12" };
    note.withdrawn.budgets = { "orders/night" };
    note.changed.services = { { "desk", { "desk-1" }, true, 7 } };
    note.added.endpoints[0].address = { "::1", 8080 };
    std::string text = printNote(note);
    std::vector<NoteError> errors;
    std::optional<Note> again = parseNote(text, errors);
    cr_assert(again, "%s", errors.empty() ? "" : errors.front().text().c_str());
    cr_assert(*again == note, "%s", text.c_str());
}

// The parser must report all errors, each with the correct line.
Test(Note, reportsEveryErrorWithItsLine)
{
    std::string text = R"(note:
  from_generation: -1
  author: ""
added:
  workspaces:
    - {name: "a b", priority: high}
    - {priority: 3}
    - text
  budgets: {workspace: a}
  endpoints:
    - {name: e, kind: gpu, address: "localhost:80", failure_domain: a, slots: 0, colour: red}
  top_ups:
    - {id: t, workspace: a, budget: b, tokens: 0}
changed:
  workspaces:
    - {name: a}
  top_ups:
    - {id: t, workspace: a, budget: b, tokens: 1}
withdrawn:
  budgets: [night]
  keys: [abc]
  top_ups: [t]
extra: 1
)";
    std::vector<NoteError> errors;
    cr_assert_not(parseNote(text, errors));
    cr_assert(hasError(errors, 2, "note.from_generation", "whole number"));
    cr_assert(hasError(errors, 3, "note.author", "not empty"));
    cr_assert(hasError(errors, 2, "note.reason", "missing"));
    cr_assert(hasError(errors, 6, "added.workspaces[0].name", "must be a name"));
    cr_assert(hasError(errors, 6, "added.workspaces[0].priority", "whole number"));
    cr_assert(hasError(errors, 7, "added.workspaces[1].name", "missing"));
    cr_assert(hasError(errors, 8, "added.workspaces[2]", "must be a map"));
    cr_assert(hasError(errors, 9, "added.budgets", "must be a list"));
    cr_assert(hasError(errors, 11, "added.endpoints[0].kind", "engine or service"));
    cr_assert(hasError(errors, 11, "added.endpoints[0].address", "not an IP number"));
    cr_assert(hasError(errors, 11, "added.endpoints[0].slots", "whole number"));
    cr_assert(hasError(errors, 11, "added.endpoints[0].colour", "not a known field"));
    cr_assert(hasError(errors, 13, "added.top_ups[0].tokens", "whole number"));
    cr_assert(hasError(errors, 16, "changed.workspaces[0].priority", "missing"));
    cr_assert(hasError(errors, 18, "changed.top_ups", "can only be added"));
    cr_assert(hasError(errors, 20, "withdrawn.budgets[0]", "workspace/budget"));
    cr_assert(hasError(errors, 21, "withdrawn.keys[0]", "valid name"));
    cr_assert(hasError(errors, 22, "withdrawn.top_ups", "can only be added"));
    cr_assert(hasError(errors, 23, "extra", "not a known field"));
}

// YAML syntax errors must have a line, and a duplicate key must not silently replace the first value.
Test(Note, reportsSyntaxErrorsAndDuplicateKeys)
{
    std::vector<NoteError> errors;
    cr_assert_not(parseNote("note: {from_generation: 0,\nadded: [", errors));
    cr_assert_eq(errors.size(), 1u);
    cr_assert_gt(errors[0].line, 1);
    errors.clear();
    cr_assert_not(parseNote("note: {from_generation: 0, author: a, reason: b}\nadded: {}\nadded: {}\n", errors));
    cr_assert(hasError(errors, 3, "added", "given twice"));
    errors.clear();
    cr_assert_not(parseNote(noteText(0, "a", "added:\n  workspaces:\n    - {name: a, name: b}\n"), errors));
    cr_assert(hasError(errors, 4, "added.workspaces[0].name", "given twice"));
}

// A note that exceeds the size limit of platform objects must be rejected.
Test(Note, rejectsOversizedNote)
{
    std::vector<NoteError> errors;
    cr_assert_not(parseNote(initialNote + "#" + std::string(maxNoteBytes, 'x'), errors));
    cr_assert_eq(errors.size(), 1u);
}

// Random bytes, YAML punctuation and deep nesting must neither crash the parser nor make it throw.
Test(Note, randomBytesNeverThrow)
{
    Core::seedRandom(11);
    std::string alphabet = "-:{}[]&*!|>%@`'\"#, \n\tabc019?~<=\\\xff\xc3\x28";
    for (int round = 0; round < 20000; ++round) {
        std::string text;
        size_t size = Core::randomBelow(80);
        for (size_t i = 0; i < size; ++i)
            text.push_back(round % 2 ? alphabet[Core::randomBelow(alphabet.size())] : static_cast<char>(Core::randomBelow(256)));
        std::vector<NoteError> errors;
        cr_assert(!parseNote(text, errors) && !errors.empty());
    }
    std::vector<NoteError> errors;
    cr_assert_not(parseNote(std::string(100000, '['), errors));
    cr_assert_not(parseNote("a: &a [*a, *a]\nnote: *a\n", errors));
}

// A mutated note must either be reported as invalid or survive printing and parsing unchanged.
Test(Note, mutatedNotesParseOrReportErrors)
{
    Core::seedRandom(12);
    int parsedCount = 0;
    for (int round = 0; round < 20000; ++round) {
        std::string text = initialNote;
        for (size_t edits = 1 + Core::randomBelow(3); edits > 0; --edits) {
            size_t at = Core::randomBelow(text.size());
            switch (Core::randomBelow(3)) {
            case 0:
                text[at] = static_cast<char>(Core::randomBelow(256));
                break;
            case 1:
                text.erase(at, 1 + Core::randomBelow(8));
                break;
            default:
                text.insert(at, text.substr(Core::randomBelow(text.size()), 1 + Core::randomBelow(30)));
            }
        }
        std::vector<NoteError> errors;
        std::optional<Note> note = parseNote(text, errors);
        cr_assert_eq(note.has_value(), errors.empty());
        if (!note)
            continue;
        ++parsedCount;
        std::vector<NoteError> applyErrors;
        applyNote({}, *note, applyErrors);
        std::optional<Note> again = parseNote(printNote(*note), errors);
        cr_assert(again && *again == *note, "%s", printNote(*note).c_str());
    }
    cr_assert_gt(parsedCount, 100);
}
