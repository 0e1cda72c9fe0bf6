#include "LibMembership/ChooseLinks.h"

#include "LibCore/Hash.h"
#include <algorithm>

namespace Membership {

static bool contains(const std::vector<Member>& members, const Member& wanted)
{
    return std::any_of(members.begin(), members.end(), [&](const Member& member) { return member.host == wanted.host; });
}

std::vector<Member> chooseLinks(const Member& self, const std::vector<Member>& alive, LinkLimits limits)
{
    std::vector<Member> ring;
    for (const Member& member : alive) {
        if (member.host != self.host)
            ring.push_back(member);
    }
    std::sort(ring.begin(), ring.end(), [](const Member& a, const Member& b) {
        uint64_t left = Core::hash64(a.host);
        uint64_t right = Core::hash64(b.host);
        return left != right ? left < right : a.host < b.host;
    });
    uint64_t ownHash = Core::hash64(self.host);
    size_t next = static_cast<size_t>(std::find_if(ring.begin(), ring.end(), [&](const Member& member) { return Core::hash64(member.host) > ownHash; }) - ring.begin());

    std::vector<Member> links;
    for (size_t step = 0; step < limits.ringNeighbours / 2 && step < ring.size(); ++step) {
        const Member& after = ring[(next + step) % ring.size()];
        const Member& before = ring[(next + ring.size() - 1 - step) % ring.size()];
        if (!contains(links, after))
            links.push_back(after);
        if (!contains(links, before))
            links.push_back(before);
    }
    size_t added = 0;
    for (const Member& member : rendezvousOrder(self.host, ring)) {
        if (added == limits.otherDomainLinks)
            break;
        if (member.failureDomain == self.failureDomain || contains(links, member))
            continue;
        links.push_back(member);
        ++added;
    }
    return links;
}

}
