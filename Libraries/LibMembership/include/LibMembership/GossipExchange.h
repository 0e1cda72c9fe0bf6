#pragma once

#include "LibMembership/GossipMessage.h"
#include "LibMembership/View.h"
#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace Membership {

struct GossipLimits {
    // Time between two raises of the own heartbeat.
    std::chrono::milliseconds heartbeatPeriod { 180'000 };
    // Largest numbers of parts in one message; the rest follows in the next ones.
    size_t entries { 16 };
    size_t generationHosts { 64 };
    size_t records { 8 };
    size_t wanted { 16 };
};

// Composes and merges the gossip messages of one daemon. Remembers what each peer is known to have, so that a change
// crosses each link about once.
class GossipExchange {
public:
    GossipExchange(View&, GossipLimits);

    // The message for a peer, as a call or as a reply: what has changed since the last exchange with it.
    GossipMessage compose(const std::string& peer, std::optional<ConfirmedIntent>, Core::SteadyClock::time_point now);

    // Merges a message from a peer, whether a call or a reply.
    void receive(const std::string& peer, const GossipMessage&, Core::SteadyClock::time_point now);

    // Raises the heartbeat when it is due and suspects silent members. Called about once a second.
    void tick(Core::SteadyClock::time_point now);

    // A message to the peer was lost: everything is offered to it again.
    void forget(const std::string& peer);

private:
    struct PeerKnowledge {
        std::map<HostNumber, GossipEntry> entries;
        // The view's changes up to this sequence number were offered to the peer.
        uint64_t offeredUpTo { 0 };
        // Hosts of which the peer sent something older than the view.
        std::set<HostNumber> outdated;
        // Records that the peer has asked for.
        std::set<HostNumber> asked;
    };

    void mergeEntry(PeerKnowledge&, const GossipEntry&, Core::SteadyClock::time_point now);
    void dropKnownFromWanted();
    void addRecords(PeerKnowledge&, GossipMessage&);
    void addChanges(PeerKnowledge&, GossipMessage&);
    bool offer(PeerKnowledge&, HostNumber, GossipMessage&);

    View& m_view;
    GossipLimits m_limits;
    std::map<std::string, PeerKnowledge> m_peers;
    // Hosts whose records this daemon lacks, with the incarnation that it has heard of.
    std::map<HostNumber, uint64_t> m_wanted;
    // No value before the first tick.
    std::optional<Core::Deadline> m_nextHeartbeat;
};

}
