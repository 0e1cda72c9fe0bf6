#include "LibIntent/StateCodec.h"

#include "Fields.h"
#include "Sections.h"
#include <nlohmann/json.hpp>

namespace Intent {

using nlohmann::json;

namespace {

// Visitor for visitFields that appends each field to an array.
class FieldEncoder {
public:
    template <typename Value>
    void operator()(const char*, const Value& value, FieldRule, Presence)
    {
        append(value);
    }

    json fields = json::array();

private:
    template <typename Value>
    void append(const Value& value) { fields.push_back(value); }
    void append(EndpointKind value) { fields.push_back(value == EndpointKind::Service); }
    void append(const Core::Address& value) { fields.push_back(json::array({ value.ip, value.port })); }
};

// Visitor for visitFields that reads the fields in the same order. Throws if a field is missing or of another type.
class FieldDecoder {
public:
    explicit FieldDecoder(const json& fields)
        : m_fields(fields)
    {
    }

    template <typename Value>
    void operator()(const char*, Value& value, FieldRule, Presence)
    {
        read(m_fields.at(m_next++), value);
    }

private:
    template <typename Value>
    void read(const json& field, Value& value) { value = field.get<Value>(); }
    void read(const json& field, EndpointKind& value) { value = field.get<bool>() ? EndpointKind::Service : EndpointKind::Engine; }
    void read(const json& field, Core::Address& value) { value = { field.at(0).get<std::string>(), field.at(1).get<uint16_t>() }; }

    const json& m_fields;
    size_t m_next { 0 };
};

}

std::string StateCodec::encode(const FleetState& state)
{
    json map { { "generation", state.generation }, { "hosts", state.withdrawnHosts }, { "tombstones", state.tombstones } };
    forEachSection([&](const auto& section) {
        json& list = map[section.name] = json::array();
        for (const auto& [name, record] : state.*section.inState) {
            FieldEncoder encoder;
            visitFields(encoder, record);
            list.push_back(std::move(encoder.fields));
        }
    });
    std::string bytes;
    json::to_cbor(map, bytes);
    return bytes;
}

template <typename Record>
static void decodeSection(const json& list, std::map<std::string, Record>& records)
{
    for (const json& fields : list) {
        Record record;
        FieldDecoder decoder(fields);
        visitFields(decoder, record);
        std::string name = nameOf(record);
        records.emplace_hint(records.end(), std::move(name), std::move(record));
    }
}

std::optional<FleetState> StateCodec::decode(std::string_view bytes, Core::Reason& reason)
{
    try {
        json map = json::from_cbor(bytes);
        FleetState state;
        state.generation = map.at("generation").get<uint64_t>();
        state.withdrawnHosts = map.at("hosts").get<std::set<std::string>>();
        state.tombstones = map.at("tombstones").get<std::set<std::string>>();
        forEachSection([&](const auto& section) { decodeSection(map.at(section.name), state.*section.inState); });
        return state;
    } catch (const json::exception& exception) {
        reason = { Core::FailureKind::Invalid, "decode state", "peer", exception.what() };
        return std::nullopt;
    }
}

}
