#pragma once

#include "LibCore/Reason.h"
#include "LibIntent/Note.h"
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Intent {

// A note as stored on the platform.
struct AcceptedNote {
    // Generation of the state that results from the note.
    uint64_t generation { 0 };
    // Random identifier. Distinguishes the submitter's own note from another one after a lost reply.
    std::string identity;
    std::string author;
    // Wall-clock time of acceptance in milliseconds since 1970; informational only.
    int64_t acceptedAtUnixMs { 0 };
    std::string text;
    bool operator==(const AcceptedNote&) const = default;
};

// Returns the name of the platform object that stores the note of a generation.
std::string objectNameOf(uint64_t generation);

// Parses the generation from an object name; no value if the object is not a note.
std::optional<uint64_t> generationOf(std::string_view objectName);

// JSON value of the platform object.
std::string encodeNoteObject(const AcceptedNote&);
std::optional<AcceptedNote> decodeNoteObject(uint64_t generation, const std::string& value, Core::Reason&);

// CBOR encoding of notes for transfer between peers.
std::string encodeNotes(const std::vector<AcceptedNote>&);
std::optional<std::vector<AcceptedNote>> decodeNotes(std::string_view bytes, Core::Reason&);

}
