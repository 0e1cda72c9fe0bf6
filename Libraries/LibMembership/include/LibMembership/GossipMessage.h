#pragma once

#include "LibMembership/Member.h"
#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Membership {

// Identifies a host in gossip by the low 32 bits of the hash of its name. Registry rejects a host whose hash collides
// with that of another host.
using HostHash = uint32_t;
HostHash hostHash(std::string_view host);

// The mutable part of a daemon's state.
struct GossipEntry {
    HostHash host { 0 };
    uint64_t incarnation { 0 };
    // Incremented only by the daemon itself: periodically, on a change of state, and to refute a suspicion.
    uint32_t heartbeat { 0 };
    MemberState state { MemberState::Alive };
    uint64_t generation { 0 };
    bool operator==(const GossipEntry&) const = default;
};

// The full state of a daemon, sent at the request of a peer.
struct GossipRecord {
    Member member;
    uint32_t heartbeat { 0 };
    bool operator==(const GossipRecord&) const = default;
};

// Hosts of which only the generation has changed. This applies to the whole fleet after each note; sending four bytes
// per host instead of a full entry keeps the traffic within its limit.
struct GenerationGroup {
    uint64_t generation { 0 };
    std::vector<HostHash> hosts;
    bool operator==(const GenerationGroup&) const = default;
};

// The last confirmation of intent by the platform. Its time is sent as an age because the clocks of two hosts cannot be
// compared.
struct ConfirmedIntent {
    uint64_t generation { 0 };
    std::chrono::milliseconds age { 0 };
    bool operator==(const ConfirmedIntent&) const = default;
};

// A gossip call or reply.
struct GossipMessage {
    std::optional<ConfirmedIntent> confirmed;
    std::vector<GossipEntry> entries;
    std::vector<GenerationGroup> generations;
    std::vector<GossipRecord> records;
    // Hosts whose records the sender requests.
    std::vector<HostHash> requestedRecords;
    bool operator==(const GossipMessage&) const = default;
};

}
