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

// A host's short name in gossip: the low 32 bits of its hash. Registry refuses a host whose number is taken.
using HostNumber = uint32_t;
HostNumber hostNumberOf(std::string_view host);

// The changing part of what is known of one daemon.
struct GossipEntry {
    HostNumber host { 0 };
    uint64_t incarnation { 0 };
    // Raised by the daemon itself, periodically and to refute a suspicion.
    uint32_t heartbeat { 0 };
    MemberState state { MemberState::Alive };
    uint64_t generation { 0 };
    bool operator==(const GossipEntry&) const = default;
};

// Everything known of one daemon; sent when a peer asks for it.
struct GossipRecord {
    Member member;
    uint32_t heartbeat { 0 };
    bool operator==(const GossipRecord&) const = default;
};

// Hosts of which nothing but the generation in force has changed. After each note this holds for the whole fleet, and
// four bytes for each host keep that within the traffic limit.
struct GenerationGroup {
    uint64_t generation { 0 };
    std::vector<HostNumber> hosts;
    bool operator==(const GenerationGroup&) const = default;
};

// A confirmation of intent by the platform, as an age because the clocks of two hosts cannot be compared.
struct ConfirmedIntent {
    uint64_t generation { 0 };
    std::chrono::milliseconds age { 0 };
    bool operator==(const ConfirmedIntent&) const = default;
};

// One gossip call, or its reply.
struct GossipMessage {
    std::optional<ConfirmedIntent> confirmed;
    std::vector<GossipEntry> entries;
    std::vector<GenerationGroup> generations;
    std::vector<GossipRecord> records;
    // Hosts whose records the sender asks for.
    std::vector<HostNumber> wanted;
    bool operator==(const GossipMessage&) const = default;
};

}
