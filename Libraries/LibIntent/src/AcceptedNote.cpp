#include "LibIntent/AcceptedNote.h"

#include <charconv>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace Intent {

static constexpr std::string_view objectNamePrefix = "intent/note-";
static constexpr size_t generationDigits = 10;

std::string objectNameOf(uint64_t generation)
{
    std::string digits = std::to_string(generation);
    size_t zeros = digits.size() < generationDigits ? generationDigits - digits.size() : 0;
    return std::string(objectNamePrefix) + std::string(zeros, '0') + digits;
}

std::optional<uint64_t> generationOf(std::string_view objectName)
{
    if (!objectName.starts_with(objectNamePrefix) || objectName.size() != objectNamePrefix.size() + generationDigits)
        return std::nullopt;
    uint64_t generation = 0;
    const char* end = objectName.data() + objectName.size();
    std::from_chars_result parsed = std::from_chars(objectName.data() + objectNamePrefix.size(), end, generation);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return generation;
}

static nlohmann::json toJson(const AcceptedNote& note)
{
    return {
        { "identity", note.identity },
        { "author", note.author },
        { "accepted_at_unix_ms", note.acceptedAtUnixMs },
        { "text", note.text },
    };
}

static AcceptedNote fromJson(uint64_t generation, const nlohmann::json& json)
{
    return {
        generation,
        json.at("identity").get<std::string>(),
        json.at("author").get<std::string>(),
        json.at("accepted_at_unix_ms").get<int64_t>(),
        json.at("text").get<std::string>(),
    };
}

std::string encodeNoteObject(const AcceptedNote& note)
{
    return toJson(note).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<AcceptedNote> decodeNoteObject(uint64_t generation, const std::string& value, Core::Reason& reason)
{
    try {
        return fromJson(generation, nlohmann::json::parse(value));
    } catch (const nlohmann::json::exception& exception) {
        reason = { Core::FailureKind::Invalid, "decode note", objectNameOf(generation), exception.what() };
        return std::nullopt;
    }
}

std::string encodeNotes(const std::vector<AcceptedNote>& notes)
{
    nlohmann::json list = nlohmann::json::array();
    for (const AcceptedNote& note : notes) {
        nlohmann::json json = toJson(note);
        json["generation"] = note.generation;
        list.push_back(std::move(json));
    }
    std::string bytes;
    nlohmann::json::to_cbor(list, bytes);
    return bytes;
}

std::optional<std::vector<AcceptedNote>> decodeNotes(std::string_view bytes, Core::Reason& reason)
{
    try {
        std::vector<AcceptedNote> notes;
        for (const nlohmann::json& json : nlohmann::json::from_cbor(bytes))
            notes.push_back(fromJson(json.at("generation").get<uint64_t>(), json));
        return notes;
    } catch (const nlohmann::json::exception& exception) {
        reason = { Core::FailureKind::Invalid, "decode notes", "peer", exception.what() };
        return std::nullopt;
    }
}

}
