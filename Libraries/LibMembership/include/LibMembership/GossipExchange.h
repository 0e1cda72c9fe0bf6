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
    // Interval at which a daemon increments its own heartbeat.
    std::chrono::milliseconds heartbeatPeriod { 180'000 };
    // Maximum number of items per message. The remaining items are sent in later messages.
    size_t maxEntries { 16 };
    size_t maxGenerationHosts { 64 };
    size_t maxRecords { 8 };
    size_t maxRequestedRecords { 16 };
};

// Composes and merges the gossip messages of a daemon. Tracks which entries each peer is known to have, so that a
// change is sent about once over each link.
class GossipExchange {
public:
    GossipExchange(View&, GossipLimits);

    // Composes a message, either a call or a reply, with the changes since the last exchange with the peer.
    GossipMessage compose(const std::string& peer, std::optional<ConfirmedIntent>, Core::SteadyClock::time_point now);

    // Merges a message from a peer, either a call or a reply.
    void receive(const std::string& peer, const GossipMessage&, Core::SteadyClock::time_point now);

    // Increments the heartbeat when it is due and marks unresponsive members as suspect. Called about once a second.
    void tick(Core::SteadyClock::time_point now);

    // Discards the state of the peer after a message to it was lost, so that all entries are sent again.
    void resetPeer(const std::string& peer);

private:
    struct PeerState {
        std::map<HostHash, GossipEntry> knownEntries;
        // Sequence number of the last change in the view that was sent to the peer.
        uint64_t lastSentChange { 0 };
        // Hosts for which the peer sent an entry that differs from the merged view.
        std::set<HostHash> outdatedHosts;
        // Hosts whose records the peer has requested.
        std::set<HostHash> requestedRecords;
    };

    void mergeEntry(PeerState&, const GossipEntry&, Core::SteadyClock::time_point now);
    void removeReceivedRecords();
    void addRecords(PeerState&, GossipMessage&);
    void addChanges(PeerState&, GossipMessage&);
    bool addEntry(PeerState&, HostHash, GossipMessage&);

    View& m_view;
    GossipLimits m_limits;
    std::map<std::string, PeerState> m_peers;
    // Hosts whose records must be requested, with the incarnation seen in an entry.
    std::map<HostHash, uint64_t> m_missingRecords;
    // Empty until the first tick.
    std::optional<Core::Deadline> m_nextHeartbeatAt;
};

}
