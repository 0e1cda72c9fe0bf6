#pragma once

#include "LibCore/Address.h"
#include "LibCore/Deadline.h"
#include <cstdint>
#include <string>
#include <vector>

namespace Membership {

enum class MemberState {
    Alive,
    Draining,
    // No sign of life within the suspicion timeout. The daemon may be paused, partitioned or terminated.
    Suspect,
    // Shut down gracefully.
    Left,
};

// A daemon of the fleet.
struct Member {
    std::string host;
    uint64_t incarnation { 0 };
    std::string failureDomain;
    std::string region;
    Core::Address peerAddress;
    Core::Address callerAddress;
    MemberState state { MemberState::Alive };
    // The newest generation of intent that the daemon has applied.
    uint64_t generation { 0 };
    bool operator==(const Member&) const = default;
};

// Sorts members by their rendezvous hash for the key. The order does not depend on that of the input.
std::vector<Member> rendezvousOrder(std::string_view key, std::vector<Member>);

}
