#include "LibMembership/Registry.h"

#include "LibCore/Random.h"
#include "LibMembership/GossipMessage.h"
#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

namespace Membership {

using Core::FailureKind;

static constexpr const char* objectPrefix = "daemon/";

static const char* stateName(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Draining:
        return "draining";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Left:
        return "left";
    }
    return "alive";
}

static MemberState parseState(const std::string& name)
{
    for (MemberState state : { MemberState::Alive, MemberState::Draining, MemberState::Suspect, MemberState::Left }) {
        if (name == stateName(state))
            return state;
    }
    throw std::out_of_range("unknown member state " + name);
}

static nlohmann::json toJson(const Core::Address& address)
{
    return { { "ip", address.ip }, { "port", address.port } };
}

static Core::Address addressFromJson(const nlohmann::json& json)
{
    return { json.at("ip").get<std::string>(), json.at("port").get<uint16_t>() };
}

std::string encodeMember(const Member& member)
{
    nlohmann::json json {
        { "host", member.host },
        { "incarnation", member.incarnation },
        { "failure_domain", member.failureDomain },
        { "region", member.region },
        { "peer_address", toJson(member.peerAddress) },
        { "caller_address", toJson(member.callerAddress) },
        { "state", stateName(member.state) },
        { "generation", member.generation },
    };
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<Member> decodeMember(const std::string& value, Core::Reason& reason)
{
    try {
        nlohmann::json json = nlohmann::json::parse(value);
        Member member;
        member.host = json.at("host").get<std::string>();
        member.incarnation = json.at("incarnation").get<uint64_t>();
        member.failureDomain = json.at("failure_domain").get<std::string>();
        member.region = json.at("region").get<std::string>();
        member.peerAddress = addressFromJson(json.at("peer_address"));
        member.callerAddress = addressFromJson(json.at("caller_address"));
        member.state = parseState(json.at("state").get<std::string>());
        member.generation = json.at("generation").get<uint64_t>();
        return member;
    } catch (const std::exception& exception) {
        reason = { FailureKind::Invalid, "decode member", "platform", exception.what() };
        return std::nullopt;
    }
}

Registry::Registry(Platform::ObjectStore store, WallClock wallClock)
    : m_store(std::move(store))
    , m_wallClock(std::move(wallClock))
{
}

uint64_t Registry::systemMicroseconds()
{
    std::chrono::system_clock::duration now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

Core::Task<std::optional<Member>> Registry::registerDaemon(Member self, Core::Deadline deadline, Core::Reason& reason)
{
    std::optional<std::vector<Member>> others = co_await list(deadline, reason);
    if (!others)
        co_return std::nullopt;
    for (const Member& other : *others) {
        if (other.host != self.host && hostHash(other.host) == hostHash(self.host)) {
            reason = { FailureKind::Refused, "register daemon", "platform", "gossip hash of the host name collides with that of " + other.host + "; choose another host name" };
            co_return std::nullopt;
        }
    }
    while (true) {
        std::optional<Platform::Object> object = co_await m_store.get(objectPrefix + self.host, deadline, reason);
        if (!object && reason.kind != FailureKind::NotFound)
            co_return std::nullopt;
        uint64_t registered = 0;
        if (object) {
            std::optional<Member> previous = decodeMember(object->value, reason);
            if (!previous)
                co_return std::nullopt;
            registered = previous->incarnation;
        }
        // The wall clock may have been set back since the last start.
        self.incarnation = std::max(m_wallClock(), registered + 1);
        if (co_await write(self, object ? object->version : 0, deadline, reason))
            co_return self;
        // After a conflict or a lost reply, reads the stored object again and registers a greater incarnation.
        bool isRetryable = reason.kind == FailureKind::Conflict || reason.kind == FailureKind::OutcomeUnknown;
        if (!isRetryable || deadline.hasPassed())
            co_return std::nullopt;
        co_await Core::sleepUntil(Core::Deadline::after(std::chrono::milliseconds(10 + Core::randomBelow(40))));
    }
}

Core::Task<bool> Registry::update(Member self, Core::Deadline deadline, Core::Reason& reason)
{
    while (true) {
        std::optional<Platform::Object> object = co_await m_store.get(objectPrefix + self.host, deadline, reason);
        if (!object)
            co_return false;
        std::optional<Member> registered = decodeMember(object->value, reason);
        if (!registered)
            co_return false;
        if (registered->incarnation > self.incarnation) {
            reason = { FailureKind::Conflict, "update daemon", "platform", "newer incarnation " + std::to_string(registered->incarnation) + " is registered" };
            co_return false;
        }
        if (*registered == self)
            co_return true;
        if (co_await write(self, object->version, deadline, reason))
            co_return true;
        bool isRetryable = reason.kind == FailureKind::Conflict || reason.kind == FailureKind::OutcomeUnknown;
        if (!isRetryable || deadline.hasPassed())
            co_return false;
    }
}

Core::Task<bool> Registry::write(Member member, Platform::Version expected, Core::Deadline deadline, Core::Reason& reason)
{
    std::optional<Platform::Version> version = co_await m_store.put(objectPrefix + member.host, encodeMember(member), expected, deadline, reason);
    co_return version.has_value();
}

Core::Task<std::optional<std::vector<Member>>> Registry::list(Core::Deadline deadline, Core::Reason& reason)
{
    std::optional<Platform::Listing> listing = co_await m_store.list(objectPrefix, deadline, reason);
    if (!listing)
        co_return std::nullopt;
    std::vector<Member> members;
    for (const Platform::Object& object : listing->objects) {
        std::optional<Member> member = decodeMember(object.value, reason);
        if (!member)
            co_return std::nullopt;
        members.push_back(std::move(*member));
    }
    co_return members;
}

}
