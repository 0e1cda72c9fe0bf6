#pragma once

#include "LibCore/Async.h"
#include "LibIntent/Freshness.h"
#include "LibMembership/Member.h"
#include "LibPeer/Network.h"
#include "LibPlatform/ObjectStore.h"
#include <map>
#include <vector>

// Finds the other daemons and keeps track of which of them answer.
class MembershipService {
public:
    MembershipService(const boost::asio::any_io_executor&, Membership::Member self, Peer::Network&, Platform::ObjectStore, Intent::Freshness&);

    // Registers the call "heartbeat".
    void serve();

    // Writes this daemon's record to the platform and reads the others'.
    Core::Task<bool> join(Core::Address callerAddress, Core::Address peerAddress, Core::Deadline, Core::Reason&);
    Core::Task<void> run();
    void stop() { m_isStopped = true; }
    void setState(Membership::MemberState state) { m_self.state = state; }
    void setGeneration(uint64_t generation) { m_self.generation = generation; }
    Core::Task<void> leave(Core::Deadline);

    const Membership::Member& self() const { return m_self; }
    std::vector<Membership::Member> all() const;
    // Daemons that are alive or draining as far as this one knows, itself included.
    std::vector<Membership::Member> live() const;
    std::vector<Membership::Member> livePeers() const;
    std::vector<Membership::Member> domainMembers() const;
    bool holdsWatch(size_t watchersPerDomain) const;

private:
    struct Known {
        Membership::Member member;
        Core::Deadline suspectAt { Core::Deadline::never() };
    };

    Core::Task<bool> writeRecord(Core::Deadline, Core::Reason&);
    Core::Task<bool> readRecords(Core::Deadline, Core::Reason&);
    Core::Task<void> beat(Membership::Member);
    std::string encodeBeat() const;
    void heardFrom(const Membership::Member&);

    boost::asio::any_io_executor m_executor;
    Membership::Member m_self;
    Peer::Network& m_network;
    Platform::ObjectStore m_store;
    Intent::Freshness& m_freshness;
    std::map<std::string, Known> m_known;
    bool m_isStopped { false };
};
