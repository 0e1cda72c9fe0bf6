#include "LibMembership/GossipCodec.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Membership {

using nlohmann::json;

static constexpr size_t hostHashBytes = 4;

static json encodeHosts(const std::vector<HostHash>& hosts)
{
    std::vector<uint8_t> bytes;
    bytes.reserve(hosts.size() * hostHashBytes);
    for (HostHash host : hosts) {
        for (int shift = 24; shift >= 0; shift -= 8)
            bytes.push_back(static_cast<uint8_t>(host >> shift));
    }
    return json::binary(std::move(bytes));
}

static std::vector<HostHash> decodeHosts(const json& value)
{
    std::vector<HostHash> hosts;
    const json::binary_t& bytes = value.get_binary();
    for (size_t i = 0; i + hostHashBytes <= bytes.size(); i += hostHashBytes) {
        HostHash host = 0;
        for (size_t byte = 0; byte < hostHashBytes; ++byte)
            host = host << 8 | bytes[i + byte];
        hosts.push_back(host);
    }
    return hosts;
}

static MemberState decodeState(const json& value)
{
    unsigned state = value.get<unsigned>();
    if (state > static_cast<unsigned>(MemberState::Left))
        throw std::out_of_range("unknown member state " + std::to_string(state));
    return static_cast<MemberState>(state);
}

static json encodeEntry(const GossipEntry& entry)
{
    return json::array({ entry.host, entry.incarnation, entry.heartbeat, static_cast<unsigned>(entry.state), entry.generation });
}

static GossipEntry decodeEntry(const json& value)
{
    return { value.at(0).get<HostHash>(), value.at(1).get<uint64_t>(), value.at(2).get<uint32_t>(), decodeState(value.at(3)), value.at(4).get<uint64_t>() };
}

static ConfirmedIntent decodeConfirmed(const json& value)
{
    static constexpr uint64_t maxAgeMs = 365ULL * 24 * 3600 * 1000;
    uint64_t age = value.at(1).get<uint64_t>();
    return { value.at(0).get<uint64_t>(), std::chrono::milliseconds(std::min(age, maxAgeMs)) };
}

static json encodeRecord(const GossipRecord& record)
{
    const Member& member = record.member;
    return json::array({ member.host, member.incarnation, record.heartbeat, static_cast<unsigned>(member.state), member.generation, member.failureDomain,
        member.region, member.peerAddress.ip, member.peerAddress.port, member.callerAddress.ip, member.callerAddress.port });
}

static GossipRecord decodeRecord(const json& value)
{
    Member member;
    member.host = value.at(0).get<std::string>();
    member.incarnation = value.at(1).get<uint64_t>();
    member.state = decodeState(value.at(3));
    member.generation = value.at(4).get<uint64_t>();
    member.failureDomain = value.at(5).get<std::string>();
    member.region = value.at(6).get<std::string>();
    member.peerAddress = { value.at(7).get<std::string>(), value.at(8).get<uint16_t>() };
    member.callerAddress = { value.at(9).get<std::string>(), value.at(10).get<uint16_t>() };
    return { member, value.at(2).get<uint32_t>() };
}

std::string GossipCodec::encode(const GossipMessage& message)
{
    json map = json::object();
    if (message.confirmed)
        map["c"] = json::array({ message.confirmed->generation, message.confirmed->age.count() });
    for (const GossipEntry& entry : message.entries)
        map["e"].push_back(encodeEntry(entry));
    for (const GenerationGroup& group : message.generations)
        map["g"].push_back(json::array({ group.generation, encodeHosts(group.hosts) }));
    for (const GossipRecord& record : message.records)
        map["r"].push_back(encodeRecord(record));
    if (!message.requestedRecords.empty())
        map["w"] = encodeHosts(message.requestedRecords);
    std::string bytes;
    json::to_cbor(map, bytes);
    return bytes;
}

std::optional<GossipMessage> GossipCodec::decode(std::string_view bytes, Core::Reason& reason)
{
    try {
        json map = json::from_cbor(bytes);
        GossipMessage message;
        if (map.contains("c"))
            message.confirmed = decodeConfirmed(map["c"]);
        for (const json& entry : map.value("e", json::array()))
            message.entries.push_back(decodeEntry(entry));
        for (const json& group : map.value("g", json::array()))
            message.generations.push_back({ group.at(0).get<uint64_t>(), decodeHosts(group.at(1)) });
        for (const json& record : map.value("r", json::array()))
            message.records.push_back(decodeRecord(record));
        if (map.contains("w"))
            message.requestedRecords = decodeHosts(map["w"]);
        return message;
    } catch (const std::exception& exception) {
        reason = { Core::FailureKind::Invalid, "decode gossip", "peer", exception.what() };
        return std::nullopt;
    }
}

}
