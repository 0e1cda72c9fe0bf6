#include "MembershipService.h"

#include "LibCore/EventLog.h"
#include "LibMembership/ChooseLinks.h"
#include "LibMembership/GossipCodec.h"
#include <algorithm>

using Core::SteadyClock;
using Membership::Member;
using Membership::MemberState;

static constexpr Core::Event memberChanged { 2101, Core::Severity::Info, "member_changed" };
static constexpr Core::Event incarnationSuperseded { 2102, Core::Severity::Info, "incarnation_superseded" };
static constexpr Core::Event registrationFailed { 2103, Core::Severity::Warning, "registration_failed" };

static const char* const gossipType = "gossip";
static constexpr std::chrono::milliseconds gossipInterval(1000);
static constexpr std::chrono::milliseconds gossipTimeout(900);
static constexpr std::chrono::milliseconds registryTimeout(2000);
// Detects the end of a partition. New daemons are discovered earlier, by gossip.
static constexpr std::chrono::milliseconds registryPollInterval(10'000);
static constexpr std::chrono::milliseconds joinRetryDelay(200);

static const char* stateName(MemberState state)
{
    static const char* const names[] = { "alive", "draining", "suspect", "left" };
    return names[static_cast<int>(state)];
}

static Membership::ViewHooks viewHooks(const MembershipService::Hooks& hooks)
{
    Membership::ViewHooks view;
    view.memberChanged = [changed = hooks.memberChanged](const Member& member) {
        Core::logEvent(memberChanged, member.host + "#" + std::to_string(member.incarnation) + " is " + stateName(member.state));
        if (changed)
            changed(member);
    };
    view.incarnationSuperseded = [superseded = hooks.incarnationSuperseded](const std::string& host, uint64_t older, uint64_t newer) {
        Core::logEvent(incarnationSuperseded, host + "#" + std::to_string(older) + " was superseded by #" + std::to_string(newer));
        if (superseded)
            superseded(host, older, newer);
    };
    return view;
}

MembershipService::MembershipService(const boost::asio::any_io_executor& executor, Member self, std::vector<Core::Address> seeds,
    Peer::Network& network, Platform::ObjectStore store, Intent::Freshness& freshness, Hooks hooks)
    : m_executor(executor)
    , m_self(std::move(self))
    , m_seeds(std::move(seeds))
    , m_network(network)
    , m_registry(std::move(store), [incarnation = m_self.incarnation] { return incarnation; })
    , m_freshness(freshness)
    , m_hooks(std::move(hooks))
    , m_view(m_self, {}, viewHooks(m_hooks))
    , m_gossip(m_view, {})
{
}

std::optional<Membership::ConfirmedIntent> MembershipService::confirmedIntent() const
{
    std::optional<std::chrono::milliseconds> age = m_freshness.confirmationAge(SteadyClock::now());
    if (!age)
        return std::nullopt;
    return Membership::ConfirmedIntent { *m_freshness.confirmedGeneration(), *age };
}

void MembershipService::serve()
{
    m_network.onCall(gossipType, [this](Peer::Identity from, std::string body, Core::Reason& reason) -> Core::Task<std::optional<std::string>> {
        std::optional<Membership::GossipMessage> message = Membership::GossipCodec::decode(body, reason);
        if (!message)
            co_return std::nullopt;
        SteadyClock::time_point now = SteadyClock::now();
        // The time at which the peer sent the call is unknown, so only responses to calls of this daemon confirm intent.
        message->confirmed.reset();
        m_gossip.receive(from.host, *message, now);
        m_view.recordDirectContact(from.host, now);
        co_return Membership::GossipCodec::encode(m_gossip.compose(from.host, confirmedIntent(), now));
    });
}

void MembershipService::receive(
    const std::string& host, const std::string& failureDomain, const Membership::GossipMessage& message, SteadyClock::time_point sentAt)
{
    SteadyClock::time_point now = SteadyClock::now();
    m_gossip.receive(host, message, now);
    m_view.recordDirectContact(host, now);
    if (message.confirmed)
        m_freshness.peerConfirmed(failureDomain, message.confirmed->generation, message.confirmed->age, sentAt);
    else
        m_freshness.peerResponded(failureDomain, sentAt);
    uint64_t highest = 0;
    for (const Member& member : m_view.members())
        highest = std::max(highest, member.generation);
    m_freshness.generationObserved(highest);
    m_hooks.generationHeard(highest);
}

// Exchanges gossip with one peer. The host and failure domain are empty for a seed whose identity is not known yet.
Core::Task<bool> MembershipService::exchange(Core::Address address, std::string host, std::string failureDomain)
{
    SteadyClock::time_point sentAt = SteadyClock::now();
    Core::Reason reason;
    std::string body = Membership::GossipCodec::encode(m_gossip.compose(host, confirmedIntent(), sentAt));
    std::optional<std::string> reply = co_await m_network.call(std::move(address), gossipType, std::move(body), Core::Deadline::after(gossipTimeout), reason);
    std::optional<Membership::GossipMessage> message;
    if (reply)
        message = Membership::GossipCodec::decode(*reply, reason);
    if (!message) {
        m_gossip.resetPeer(host);
        co_return false;
    }
    receive(host, failureDomain, *message, sentAt);
    co_return true;
}

Core::Task<bool> MembershipService::registerSelf(Core::Deadline deadline, Core::Reason& reason)
{
    std::optional<Member> registered = co_await m_registry.registerDaemon(m_self, deadline, reason);
    if (!registered)
        co_return false;
    if (registered->incarnation != m_self.incarnation) {
        reason = { Core::FailureKind::Conflict, "register daemon", m_self.host,
            "the clock of the host is behind its earlier incarnation " + std::to_string(registered->incarnation - 1) };
        co_return false;
    }
    m_isRegistered = true;
    co_return true;
}

Core::Task<bool> MembershipService::readRegistry(Core::Deadline deadline, Core::Reason& reason)
{
    std::optional<std::vector<Member>> members = co_await m_registry.list(deadline, reason);
    if (!members)
        co_return false;
    for (const Member& member : *members) {
        if (member.host != m_self.host)
            m_view.merge(Membership::GossipRecord { member, 0 }, SteadyClock::now());
    }
    co_return true;
}

Core::Task<bool> MembershipService::join(Core::Address callerAddress, Core::Address peerAddress, Core::Deadline deadline, Core::Reason& reason)
{
    m_self.callerAddress = std::move(callerAddress);
    m_self.peerAddress = std::move(peerAddress);
    m_view.setOwnAddresses(m_self.peerAddress, m_self.callerAddress);
    while (!deadline.hasPassed()) {
        Core::Deadline limit = std::min(deadline, Core::Deadline::after(registryTimeout));
        if (co_await registerSelf(limit, reason) && co_await readRegistry(limit, reason)) {
            startExchanges();
            co_return true;
        }
        if (reason.kind == Core::FailureKind::Conflict || reason.kind == Core::FailureKind::Refused)
            co_return false;
        Core::logEvent(registrationFailed, reason.text());
        for (const Core::Address& seed : m_seeds) {
            if (seed != m_self.peerAddress && co_await exchange(seed, "", ""))
                co_return true;
        }
        co_await Core::sleepUntil(Core::Deadline::after(joinRetryDelay));
    }
    co_return false;
}

void MembershipService::startExchanges()
{
    std::vector<Member> linked = linkedPeers();
    std::set<std::string> hosts;
    for (const Member& member : linked)
        hosts.insert(member.host);
    m_view.setLinked(hosts, SteadyClock::now());
    for (const Member& member : linked) {
        Core::spawn(m_executor, "gossip", [](MembershipService& service, Member peer) -> Core::Task<void> {
            co_await service.exchange(peer.peerAddress, peer.host, peer.failureDomain);
        }(*this, member));
    }
}

Core::Task<void> MembershipService::run()
{
    Core::Deadline nextRead = Core::Deadline::after(registryPollInterval);
    while (!m_isStopped) {
        Core::Deadline next = Core::Deadline::after(gossipInterval);
        m_gossip.tick(SteadyClock::now());
        startExchanges();
        if (nextRead.hasPassed()) {
            Core::Reason reason;
            if (!m_isRegistered && !co_await registerSelf(Core::Deadline::after(registryTimeout), reason))
                Core::logEvent(registrationFailed, reason.text());
            if (holdsWatch(1))
                co_await readRegistry(Core::Deadline::after(registryTimeout), reason);
            nextRead = Core::Deadline::after(registryPollInterval);
        }
        co_await Core::sleepUntil(next);
    }
}

Core::Task<void> MembershipService::leave(Core::Deadline deadline)
{
    setState(MemberState::Left);
    startExchanges();
    Member self = m_self;
    self.state = MemberState::Left;
    Core::Reason reason;
    if (!co_await m_registry.update(std::move(self), deadline, reason))
        Core::logEvent(registrationFailed, reason.text());
}

std::vector<Member> MembershipService::live() const
{
    std::vector<Member> members = all();
    std::erase_if(members, [](const Member& member) { return member.state == MemberState::Suspect || member.state == MemberState::Left; });
    return members;
}

std::vector<Member> MembershipService::linkedPeers() const
{
    // Links to suspects are kept so that a daemon is rediscovered after a pause or partition.
    std::vector<Member> members = all();
    std::erase_if(members, [this](const Member& member) { return member.state == MemberState::Left || member.host == m_self.host; });
    return Membership::chooseLinks(m_view.self(), members);
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
