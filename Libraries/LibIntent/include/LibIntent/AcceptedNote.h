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
    // The generation that the note leads to.
    uint64_t generation { 0 };
    // Random; tells the submitter's own note from another's after a lost reply.
    std::string identity;
    std::string author;
    // Wall-clock time of acceptance in milliseconds since 1970, for people.
    int64_t acceptedAtUnixMs { 0 };
    std::string text;
    bool operator==(const AcceptedNote&) const = default;
};

// Name of the platform object that holds the note of a generation.
std::string objectNameOf(uint64_t generation);

// The generation in an object's name, if it is the name of a note.
std::optional<uint64_t> generationOf(std::string_view objectName);

// Value of the platform object, as JSON.
std::string encodeNoteObject(const AcceptedNote&);
std::optional<AcceptedNote> decodeNoteObject(uint64_t generation, const std::string& value, Core::Reason&);

// Notes as CBOR, for peers.
std::string encodeNotes(const std::vector<AcceptedNote>&);
std::optional<std::vector<AcceptedNote>> decodeNotes(std::string_view bytes, Core::Reason&);

}
