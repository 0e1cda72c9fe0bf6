#include "MembershipService.h"

#include <nlohmann/json.hpp>

using Json = nlohmann::json;
using Core::SteadyClock;
using Membership::Member;
using Membership::MemberState;

static const char* const heartbeatType = "heartbeat";
static const std::string recordPrefix = "daemon/";
static constexpr std::chrono::milliseconds heartbeatInterval(1000);
static constexpr std::chrono::milliseconds heartbeatTimeout(900);
static constexpr std::chrono::milliseconds suspicionTime(3500);
static constexpr std::chrono::milliseconds platformTimeout(2000);

static Json toJson(const Member& member)
{
    return { { "host", member.host }, { "incarnation", member.incarnation }, { "failure_domain", member.failureDomain },
        { "region", member.region }, { "peer", member.peerAddress.text() }, { "caller", member.callerAddress.text() },
        { "state", static_cast<int>(member.state) }, { "generation", member.generation } };
}

static std::optional<Member> memberFromJson(const Json& json)
{
    try {
        Core::Reason ignored;
        std::optional<Core::Address> peer = Core::Address::parse(json.at("peer").get<std::string>(), ignored);
        std::optional<Core::Address> caller = Core::Address::parse(json.at("caller").get<std::string>(), ignored);
        int state = json.at("state").get<int>();
        if (!peer || !caller || state < 0 || state > static_cast<int>(MemberState::Left))
            return std::nullopt;
        return Member { json.at("host").get<std::string>(), json.at("incarnation").get<uint64_t>(), json.at("failure_domain").get<std::string>(),
            json.at("region").get<std::string>(), *peer, *caller, static_cast<MemberState>(state), json.at("generation").get<uint64_t>() };
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

static std::string toCbor(const Json& json)
{
    std::vector<uint8_t> bytes = Json::to_cbor(json);
    return std::string(bytes.begin(), bytes.end());
}

MembershipService::MembershipService(const boost::asio::any_io_executor& executor, Member self, Peer::Network& network,
    Platform::ObjectStore store, Intent::Freshness& freshness)
    : m_executor(executor)
    , m_self(std::move(self))
    , m_network(network)
    , m_store(std::move(store))
    , m_freshness(freshness)
{
}

void MembershipService::serve()
{
    m_network.onCall(heartbeatType, [this](Peer::Identity from, std::string body, Core::Reason& reason) -> Core::Task<std::optional<std::string>> {
        std::optional<Member> member = memberFromJson(Json::from_cbor(body, true, false));
        if (!member || member->host != from.host) {
            reason = { Core::FailureKind::Invalid, "decode heartbeat", from.host, "the message is malformed" };
            co_return std::nullopt;
        }
        heardFrom(*member);
        co_return encodeBeat();
    });
}

std::string MembershipService::encodeBeat() const
{
    Json beat = toJson(m_self);
    std::optional<std::chrono::milliseconds> age = m_freshness.confirmationAge(SteadyClock::now());
    if (age) {
        beat["confirmed"] = *m_freshness.confirmedGeneration();
        beat["age_ms"] = age->count();
    }
    return toCbor(beat);
}

void MembershipService::heardFrom(const Member& member)
{
    if (member.host == m_self.host)
        return;
    Known& known = m_known[member.host];
    if (member.incarnation < known.member.incarnation)
        return;
    known.member = member;
    known.suspectAt = Core::Deadline::after(suspicionTime);
}

Core::Task<bool> MembershipService::writeRecord(Core::Deadline deadline, Core::Reason& reason)
{
    std::string name = recordPrefix + m_self.host;
    std::optional<Platform::Object> present = co_await m_store.get(name, deadline, reason);
    if (!present && reason.kind != Core::FailureKind::NotFound)
        co_return false;
    Platform::Version version = present ? present->version : 0;
    std::optional<Platform::Version> written = co_await m_store.put(name, toJson(m_self).dump(), version, deadline, reason);
    co_return written.has_value();
}

Core::Task<bool> MembershipService::readRecords(Core::Deadline deadline, Core::Reason& reason)
{
    std::optional<Platform::Listing> listing = co_await m_store.list(recordPrefix, deadline, reason);
    if (!listing)
        co_return false;
    for (const Platform::Object& object : listing->objects) {
        std::optional<Member> member = memberFromJson(Json::parse(object.value, nullptr, false));
        if (!member || member->host == m_self.host)
            continue;
        Known& known = m_known[member->host];
        if (member->incarnation <= known.member.incarnation)
            continue;
        known.member = *member;
        // Not heard yet; it gets one suspicion time to answer.
        known.suspectAt = Core::Deadline::after(suspicionTime);
    }
    co_return true;
}

Core::Task<bool> MembershipService::join(Core::Address callerAddress, Core::Address peerAddress, Core::Deadline deadline, Core::Reason& reason)
{
    m_self.callerAddress = std::move(callerAddress);
    m_self.peerAddress = std::move(peerAddress);
    while (!co_await writeRecord(deadline, reason) || !co_await readRecords(deadline, reason)) {
        if (deadline.hasPassed())
            co_return false;
        co_await Core::sleepUntil(Core::Deadline::after(std::chrono::milliseconds(200)));
    }
    co_return true;
}

Core::Task<void> MembershipService::beat(Member member)
{
    SteadyClock::time_point askedAt = SteadyClock::now();
    Core::Reason reason;
    std::optional<std::string> reply
        = co_await m_network.call(member.peerAddress, heartbeatType, encodeBeat(), Core::Deadline::after(heartbeatTimeout), reason);
    if (!reply)
        co_return;
    Json json = Json::from_cbor(*reply, true, false);
    std::optional<Member> answered = memberFromJson(json);
    if (!answered)
        co_return;
    heardFrom(*answered);
    m_freshness.generationHeard(answered->generation);
    if (json.contains("confirmed") && json["confirmed"].is_number_unsigned() && json["age_ms"].is_number_integer())
        m_freshness.peerConfirmed(answered->failureDomain, json["confirmed"].get<uint64_t>(), std::chrono::milliseconds(json["age_ms"].get<int64_t>()), askedAt);
    else
        m_freshness.peerHeard(answered->failureDomain, askedAt);
}

Core::Task<void> MembershipService::run()
{
    while (!m_isStopped) {
        for (const Member& member : all()) {
            if (member.host != m_self.host && member.state != MemberState::Left)
                Core::spawn(m_executor, "heartbeat", beat(member));
        }
        Core::Reason ignored;
        Core::Deadline next = Core::Deadline::after(heartbeatInterval);
        co_await readRecords(Core::Deadline::after(platformTimeout), ignored);
        co_await Core::sleepUntil(next);
    }
}

Core::Task<void> MembershipService::leave(Core::Deadline deadline)
{
    m_self.state = MemberState::Left;
    for (const Member& member : livePeers())
        Core::spawn(m_executor, "heartbeat", beat(member));
    Core::Reason ignored;
    co_await writeRecord(deadline, ignored);
}

std::vector<Member> MembershipService::all() const
{
    std::vector<Member> members { m_self };
    for (const std::pair<const std::string, Known>& item : m_known) {
        Member member = item.second.member;
        if (member.state != MemberState::Left && item.second.suspectAt.hasPassed())
            member.state = MemberState::Suspect;
        members.push_back(std::move(member));
    }
    return members;
}

std::vector<Member> MembershipService::live() const
{
    std::vector<Member> members = all();
    std::erase_if(members, [](const Member& member) { return member.state == MemberState::Suspect || member.state == MemberState::Left; });
    return members;
}

std::vector<Member> MembershipService::livePeers() const
{
    std::vector<Member> members = live();
    std::erase_if(members, [this](const Member& member) { return member.host == m_self.host; });
    return members;
}

std::vector<Member> MembershipService::domainMembers() const
{
    std::vector<Member> members = live();
    std::erase_if(members, [this](const Member& member) { return member.failureDomain != m_self.failureDomain; });
    return members;
}

bool MembershipService::holdsWatch(size_t watchersPerDomain) const
{
    std::vector<Member> order = Membership::rendezvousOrder("watch", domainMembers());
    for (size_t i = 0; i < order.size() && i < watchersPerDomain; ++i) {
        if (order[i].host == m_self.host)
            return true;
    }
    return false;
}
