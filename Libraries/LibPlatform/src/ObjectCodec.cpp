#include "LibPlatform/ObjectCodec.h"

#include "LibHTTP/Message.h"
#include <charconv>
#include <nlohmann/json.hpp>

namespace Platform {

using nlohmann::json;

static constexpr std::string_view objectsPath = "/v1/objects/";

std::string formatETag(Version version)
{
    return '"' + std::to_string(version) + '"';
}

std::optional<Version> parseETag(std::string_view text)
{
    if (text.size() < 3 || text.front() != '"' || text.back() != '"')
        return std::nullopt;
    Version version = 0;
    const char* end = text.data() + text.size() - 1;
    std::from_chars_result parsed = std::from_chars(text.data() + 1, end, version);
    if (parsed.ec != std::errc() || parsed.ptr != end || version == 0)
        return std::nullopt;
    return version;
}

static json toBinary(const std::string& value)
{
    return json::binary(std::vector<uint8_t>(value.begin(), value.end()));
}

static std::string toCbor(const json& message)
{
    std::vector<uint8_t> bytes = json::to_cbor(message);
    return std::string(bytes.begin(), bytes.end());
}

static std::nullopt_t malformed(const std::string& what, Core::Reason& reason)
{
    reason = { Core::FailureKind::Invalid, "decode reply", "platform", what };
    return std::nullopt;
}

// A length that does not fit in memory makes the parser throw although its exceptions are turned off.
static json parseCbor(const std::string& bytes)
{
    try {
        return json::from_cbor(bytes, true, false);
    } catch (const json::exception&) {
        return json(json::value_t::discarded);
    }
}

static std::optional<json> fromCbor(const std::string& bytes, const char* listKey, Core::Reason& reason)
{
    json message = parseCbor(bytes);
    if (!message.is_object())
        return malformed("the reply is not a CBOR map", reason);
    if (!message.contains("revision") || !message["revision"].is_number_unsigned())
        return malformed("the reply has no revision", reason);
    if (!message.contains(listKey) || !message[listKey].is_array())
        return malformed("the reply has no list '" + std::string(listKey) + "'", reason);
    return message;
}

static std::optional<Object> objectFrom(const json& item, Core::Reason& reason)
{
    if (!item.is_object())
        return malformed("an item of the reply is not a CBOR map", reason);
    json::const_iterator name = item.find("name");
    json::const_iterator version = item.find("version");
    json::const_iterator value = item.find("value");
    if (name == item.end() || !name->is_string())
        return malformed("an item of the reply has no name", reason);
    if (version == item.end() || !version->is_number_unsigned() || version->get<Version>() == 0)
        return malformed("'" + name->get<std::string>() + "' has no version", reason);
    if (value == item.end() || !value->is_binary())
        return malformed("'" + name->get<std::string>() + "' has no byte string as its value", reason);
    const json::binary_t& bytes = value->get_binary();
    return Object { name->get<std::string>(), version->get<Version>(), std::string(bytes.begin(), bytes.end()) };
}

std::string encodeListing(const Listing& listing)
{
    json objects = json::array();
    for (const Object& object : listing.objects)
        objects.push_back({ { "name", object.name }, { "version", object.version }, { "value", toBinary(object.value) } });
    return toCbor({ { "revision", listing.revision }, { "objects", std::move(objects) } });
}

std::optional<Listing> decodeListing(const std::string& bytes, Core::Reason& reason)
{
    std::optional<json> message = fromCbor(bytes, "objects", reason);
    if (!message)
        return std::nullopt;
    Listing listing { (*message)["revision"].get<Version>(), {} };
    for (const json& item : (*message)["objects"]) {
        std::optional<Object> object = objectFrom(item, reason);
        if (!object)
            return std::nullopt;
        listing.objects.push_back(std::move(*object));
    }
    return listing;
}

std::string encodeChanges(const Changes& changes)
{
    json events = json::array();
    for (const Change& change : changes.changes) {
        events.push_back({ { "name", change.object.name }, { "version", change.object.version },
            { "value", toBinary(change.object.value) }, { "deleted", change.isDeleted } });
    }
    return toCbor({ { "revision", changes.revision }, { "events", std::move(events) } });
}

std::optional<Changes> decodeChanges(const std::string& bytes, Core::Reason& reason)
{
    std::optional<json> message = fromCbor(bytes, "events", reason);
    if (!message)
        return std::nullopt;
    Changes changes { (*message)["revision"].get<Version>(), {} };
    Version previous = 0;
    for (const json& item : (*message)["events"]) {
        std::optional<Object> object = objectFrom(item, reason);
        if (!object)
            return std::nullopt;
        if (!item.contains("deleted") || !item["deleted"].is_boolean())
            return malformed("the event of '" + object->name + "' does not say whether it is a deletion", reason);
        if (object->version <= previous || object->version > changes.revision)
            return malformed("the event of '" + object->name + "' is out of order", reason);
        previous = object->version;
        changes.changes.push_back({ std::move(*object), item["deleted"].get<bool>() });
    }
    return changes;
}

std::string objectPath(std::string_view name)
{
    std::string path(objectsPath);
    for (;;) {
        size_t slash = name.find('/');
        path += HTTP::encodeComponent(name.substr(0, slash));
        if (slash == std::string_view::npos)
            return path;
        path.push_back('/');
        name.remove_prefix(slash + 1);
    }
}

std::optional<std::string> objectNameOf(std::string_view path)
{
    if (!path.starts_with(objectsPath))
        return std::nullopt;
    path.remove_prefix(objectsPath.size());
    std::string name;
    while (!path.empty()) {
        if (path.front() != '%') {
            name.push_back(path.front());
            path.remove_prefix(1);
            continue;
        }
        unsigned byte = 0;
        if (path.size() < 3)
            return std::nullopt;
        std::from_chars_result parsed = std::from_chars(path.data() + 1, path.data() + 3, byte, 16);
        if (parsed.ec != std::errc() || parsed.ptr != path.data() + 3)
            return std::nullopt;
        name.push_back(static_cast<char>(byte));
        path.remove_prefix(3);
    }
    return name;
}

}
