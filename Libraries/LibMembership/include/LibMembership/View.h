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
    // A linked daemon is suspected when it was not heard directly for this long.
    std::chrono::milliseconds linkedSuspicion { 5000 };
    // Any other daemon is suspected when its heartbeat was not raised for this long. Linked peers normally notice
    // first; this covers a daemon whose linked peers fail with it.
    std::chrono::milliseconds unlinkedSuspicion { 600'000 };
};

struct ViewHooks {
    // A newer incarnation of the host has bound the host's address, so the older process is gone.
    std::function<void(const std::string& host, uint64_t older, uint64_t newer)> incarnationSuperseded;
    // A daemon was added or its state, address or incarnation changed.
    std::function<void(const Member&)> memberChanged;
};

// What one daemon knows of all daemons. Merging is commutative and idempotent: by incarnation, then heartbeat, then
// state (alive < draining < suspect < left). Never returns to an older incarnation.
class View {
public:
    View(Member self, ViewLimits, ViewHooks);

    const Member& self() const { return m_known.at(m_self).member; }
    // Self included.
    std::vector<Member> members() const;
    // Members that are alive, self included unless it drains.
    std::vector<Member> aliveMembers() const;
    std::optional<Member> find(const std::string& host) const;
    std::optional<GossipRecord> record(HostNumber) const;
    std::vector<GossipEntry> entries() const;
    std::optional<GossipEntry> entry(HostNumber) const;
    // The hosts by the sequence number of their last change.
    const std::map<uint64_t, HostNumber>& changes() const { return m_changes; }

    // Merges a whole record, from a peer or from the registry.
    void merge(const GossipRecord&, Core::SteadyClock::time_point now);
    // Merges a digest entry. False if the record of this host and incarnation is not known and must be asked for.
    bool merge(const GossipEntry&, Core::SteadyClock::time_point now);

    // A message came from the host itself.
    void heardDirectly(const std::string& host, Core::SteadyClock::time_point now);
    // The hosts to which this daemon keeps links, and which it therefore watches closely.
    void setLinked(const std::set<std::string>& hosts, Core::SteadyClock::time_point now);
    // Suspects the members whose deadline has passed.
    void expire(Core::SteadyClock::time_point now);

    // The addresses in use, once they are bound and before the first exchange.
    void setOwnAddresses(Core::Address peer, Core::Address caller);
    // Raises the own heartbeat.
    void beat();
    void setOwnState(MemberState);
    void setOwnGeneration(uint64_t);

private:
    struct Known {
        Member member;
        uint32_t heartbeat { 0 };
        bool isLinked { false };
        // Sequence number of the last change of the entry.
        uint64_t changedAt { 0 };
        Core::Deadline suspectAt { Core::Deadline::never() };
    };

    Core::Deadline suspicionDeadline(const Known&, Core::SteadyClock::time_point now) const;
    void mergeSelf(const GossipEntry&);
    void markChanged(Known&);
    void mergeState(Known&, uint32_t heartbeat, MemberState, uint64_t generation, Core::SteadyClock::time_point now);

    ViewLimits m_limits;
    ViewHooks m_hooks;
    HostNumber m_self;
    std::map<HostNumber, Known> m_known;
    std::map<uint64_t, HostNumber> m_changes;
    uint64_t m_lastChange { 0 };
};

}
