#include "LibMembership/Member.h"

#include "LibCore/Hash.h"
#include <algorithm>

namespace Membership {

std::vector<Member> rendezvousOrder(std::string_view key, std::vector<Member> members)
{
    uint64_t keyHash = Core::hash64(key);
    struct Weighted {
        uint64_t weight;
        Member member;
    };
    std::vector<Weighted> weighted;
    weighted.reserve(members.size());
    for (Member& member : members) {
        uint64_t weight = Core::hash64(member.host, keyHash);
        weighted.push_back({ weight, std::move(member) });
    }
    // Equal weights are ordered by host, so that all daemons compute the same order.
    std::sort(weighted.begin(), weighted.end(), [](const Weighted& a, const Weighted& b) {
        return a.weight != b.weight ? a.weight > b.weight : a.member.host < b.member.host;
    });
    std::vector<Member> ordered;
    ordered.reserve(weighted.size());
    for (Weighted& entry : weighted)
        ordered.push_back(std::move(entry.member));
    return ordered;
}

}
