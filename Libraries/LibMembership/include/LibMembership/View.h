#pragma once

#include "LibCore/Deadline.h"
#include "LibMembership/GossipMessage.h"
#include "LibMembership/Member.h"
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Membership {

struct ViewLimits {
    // A linked daemon becomes suspect if no message was received from it for this long.
    std::chrono::milliseconds linkedSuspicion { 5000 };
    // Any other daemon becomes suspect if its heartbeat did not increase for this long. Its linked peers normally
    // detect a failure earlier; this timeout covers a daemon that fails together with its linked peers.
    std::chrono::milliseconds unlinkedSuspicion { 600'000 };
};

struct ViewHooks {
    // Called when a newer incarnation of the host is known. It has bound the host's address, so the older process has
    // ended.
    std::function<void(const std::string& host, uint64_t older, uint64_t newer)> incarnationSuperseded;
    // Called when a daemon is added or its state, address or incarnation changes.
    std::function<void(const Member&)> memberChanged;
};

// A daemon's view of the membership. Merging is commutative and idempotent: entries are ordered by incarnation, then
// heartbeat, then state (alive < draining < suspect < left). An incarnation is never replaced by an older one.
class View {
public:
    View(Member self, ViewLimits, ViewHooks);

    const Member& self() const { return m_members.at(m_selfHash).member; }
    // All members, including self.
    std::vector<Member> members() const;
    // All members in the state Alive, including self unless it is draining.
    std::vector<Member> aliveMembers() const;
    std::optional<Member> find(const std::string& host) const;
    std::optional<GossipRecord> record(HostHash) const;
    std::vector<GossipEntry> entries() const;
    std::optional<GossipEntry> entry(HostHash) const;
    // Maps the sequence number of each host's last change to the host.
    const std::map<uint64_t, HostHash>& changes() const { return m_changes; }

    // Merges a full record from a peer or the registry.
    void merge(const GossipRecord&, Core::SteadyClock::time_point now);
    // Merges an entry. Returns false if the record of this host and incarnation is unknown and must be requested.
    bool merge(const GossipEntry&, Core::SteadyClock::time_point now);

    // Restarts the suspicion timeout of a host from which a message was received.
    void recordDirectContact(const std::string& host, Core::SteadyClock::time_point now);
    // Sets the hosts to which this daemon keeps links. The shorter suspicion timeout applies to them.
    void setLinked(const std::set<std::string>& hosts, Core::SteadyClock::time_point now);
    // Marks members as suspect whose suspicion timeout has passed.
    void suspectExpiredMembers(Core::SteadyClock::time_point now);

    // Sets the bound addresses. Must be called before the first gossip exchange.
    void setOwnAddresses(Core::Address peer, Core::Address caller);
    void incrementHeartbeat();
    void setOwnState(MemberState);
    void setOwnGeneration(uint64_t);

private:
    struct MemberEntry {
        Member member;
        uint32_t heartbeat { 0 };
        bool isLinked { false };
        // Sequence number of the last change of this entry.
        uint64_t changedAt { 0 };
        Core::Deadline suspectAt { Core::Deadline::never() };
    };

    Core::Deadline suspicionDeadline(const MemberEntry&, Core::SteadyClock::time_point now) const;
    void mergeSelf(const GossipEntry&);
    void markChanged(MemberEntry&);
    void mergeState(MemberEntry&, uint32_t heartbeat, MemberState, uint64_t generation, Core::SteadyClock::time_point now);

    ViewLimits m_limits;
    ViewHooks m_hooks;
    HostHash m_selfHash;
    std::map<HostHash, MemberEntry> m_members;
    std::map<uint64_t, HostHash> m_changes;
    uint64_t m_lastChangeNumber { 0 };
};

}
