#pragma once

#include "LibCore/Async.h"
#include "LibIntent/Freshness.h"
#include "LibMembership/GossipExchange.h"
#include "LibMembership/Member.h"
#include "LibMembership/Registry.h"
#include "LibMembership/View.h"
#include "LibPeer/Network.h"
#include "LibPlatform/ObjectStore.h"
#include <functional>
#include <vector>

// Discovers other daemons through the platform's registry and seed addresses, and tracks their state by gossip over a
// limited number of links. Reports confirmations of intent to Intent::Freshness.
class MembershipService {
public:
    struct Hooks {
        // A newer incarnation has bound the address of the host, which proves that the older process has ended.
        std::function<void(const std::string& host, uint64_t older, uint64_t newer)> incarnationSuperseded;
        // A daemon was added, or its state, address or incarnation has changed.
        std::function<void(const Membership::Member&)> memberChanged;
        // A peer has reported that it has this generation in force.
        std::function<void(uint64_t generation)> generationHeard;
    };

    MembershipService(const boost::asio::any_io_executor&, Membership::Member self, std::vector<Core::Address> seeds, Peer::Network&,
        Platform::ObjectStore, Intent::Freshness&, Hooks);

    // Registers the handler of the call "gossip".
    void serve();

    // Registers this daemon with the platform or, while that is unreachable, contacts a seed. Fails with
    // FailureKind::Conflict if the clock of the host is behind an earlier incarnation of this host.
    Core::Task<bool> join(Core::Address callerAddress, Core::Address peerAddress, Core::Deadline, Core::Reason&);
    Core::Task<void> run();
    void stop() { m_isStopped = true; }
    void setGeneration(uint64_t generation) { m_view.setOwnGeneration(generation); }
    void setState(Membership::MemberState state) { m_view.setOwnState(state); }
    // Announces the state Left to the platform and the linked peers.
    Core::Task<void> leave(Core::Deadline);

    std::vector<Membership::Member> all() const { return m_view.members(); }
    // Returns the daemons known to be alive or draining, including this one.
    std::vector<Membership::Member> live() const;
    // Returns the daemons with which this one exchanges gossip, including suspects.
    std::vector<Membership::Member> linkedPeers() const;
    std::vector<Membership::Member> domainMembers() const;
    bool holdsWatch(size_t watchersPerDomain) const;

private:
    Core::Task<bool> registerSelf(Core::Deadline, Core::Reason&);
    Core::Task<bool> readRegistry(Core::Deadline, Core::Reason&);
    Core::Task<bool> exchange(Core::Address, std::string host, std::string failureDomain);
    void startExchanges();
    std::optional<Membership::ConfirmedIntent> confirmedIntent() const;
    void receive(const std::string& host, const std::string& failureDomain, const Membership::GossipMessage&, Core::SteadyClock::time_point sentAt);

    boost::asio::any_io_executor m_executor;
    Membership::Member m_self;
    std::vector<Core::Address> m_seeds;
    Peer::Network& m_network;
    Membership::Registry m_registry;
    Intent::Freshness& m_freshness;
    Hooks m_hooks;
    Membership::View m_view;
    Membership::GossipExchange m_gossip;
    bool m_isRegistered { false };
    bool m_isStopped { false };
};
