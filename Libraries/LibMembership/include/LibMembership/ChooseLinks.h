#pragma once

#include "LibMembership/Member.h"
#include <string>
#include <vector>

namespace Membership {

struct LinkLimits {
    // Number of neighbours on the hash ring, half of them on each side.
    size_t ringNeighbours { 4 };
    // Number of additional links to daemons in other failure domains.
    size_t otherDomainLinks { 2 };
};

// Chooses the peers to which a daemon keeps links: its neighbours on the ring of host hashes and, in rendezvous order
// of its own host name, daemons in other failure domains. Returns at most six peers with the default limits, fewer in a
// small fleet. Deterministic.
std::vector<Member> chooseLinks(const Member& self, const std::vector<Member>& alive, LinkLimits = {});

}
