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

// Finds the other daemons through the platform's registry and seed addresses, and keeps track of them by gossip over a
// few links. Passes confirmations of intent to the freshness rule.
class MembershipService {
public:
    struct Hooks {
        // A newer incarnation of the host has bound the host's address, so the older process is gone.
        std::function<void(const std::string& host, uint64_t older, uint64_t newer)> incarnationSuperseded;
        // A daemon was added or its state, address or incarnation changed.
        std::function<void(const Membership::Member&)> memberChanged;
        // A peer has this generation in force.
        std::function<void(uint64_t generation)> generationHeard;
    };

    MembershipService(const boost::asio::any_io_executor&, Membership::Member self, std::vector<Core::Address> seeds, Peer::Network&,
        Platform::ObjectStore, Intent::Freshness&, Hooks);

    // Registers the call "gossip".
    void serve();

    // Registers this daemon at the platform or, while that does not answer, reaches a seed. Conflict: the host's clock is
    // behind an earlier incarnation of this host.
    Core::Task<bool> join(Core::Address callerAddress, Core::Address peerAddress, Core::Deadline, Core::Reason&);
    Core::Task<void> run();
    void stop() { m_isStopped = true; }
    void setGeneration(uint64_t generation) { m_view.setOwnGeneration(generation); }
    void setState(Membership::MemberState state) { m_view.setOwnState(state); }
    // Tells the platform and the linked peers of the last state.
    Core::Task<void> leave(Core::Deadline);

    std::vector<Membership::Member> all() const { return m_view.members(); }
    // Daemons that are alive or draining as far as this one knows, itself included.
    std::vector<Membership::Member> live() const;
    // The live daemons to which this one keeps links.
    std::vector<Membership::Member> linkedPeers() const;
    std::vector<Membership::Member> domainMembers() const;
    bool holdsWatch(size_t watchersPerDomain) const;

private:
    Core::Task<bool> registerSelf(Core::Deadline, Core::Reason&);
    Core::Task<bool> readRegistry(Core::Deadline, Core::Reason&);
    Core::Task<bool> exchange(Core::Address, std::string host, std::string failureDomain);
    void startExchanges();
    std::optional<Membership::ConfirmedIntent> confirmedIntent() const;
    void receive(const std::string& host, const std::string& failureDomain, const Membership::GossipMessage&, Core::SteadyClock::time_point askedAt);

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
