#pragma once

#include "LibMembership/Member.h"
#include <string>
#include <vector>

namespace Membership {

struct LinkLimits {
    // Neighbours on the hash ring, half of them on each side.
    size_t ringNeighbours { 4 };
    // Fewest links to other failure domains.
    size_t otherDomains { 2 };
};

// The peers to which a daemon keeps links: its neighbours on the ring of host hashes and, by rendezvous order of its own
// name, further daemons of other failure domains. About six; fewer in a small fleet. Deterministic.
std::vector<Member> chooseLinks(const Member& self, const std::vector<Member>& alive, LinkLimits = {});

}
