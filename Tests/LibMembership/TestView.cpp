#include "SimulatedFleet.h"

#include "LibCore/Random.h"
#include <algorithm>
#include <criterion/criterion.h>

using namespace Membership;
using std::chrono::seconds;

namespace {

struct Fixture {
    std::vector<std::string> superseded;
    Core::SteadyClock::time_point now { std::chrono::hours(1000) };
    View view;

    Fixture()
        : view(makeMember(0, 3, 100), {}, { [this](const std::string& host, uint64_t older, uint64_t newer) { superseded.push_back(host + ":" + std::to_string(older) + "-" + std::to_string(newer)); }, [](const Member&) {} })
    {
    }

    MemberState stateOf(int number) const { return view.find("host-" + std::to_string(number))->state; }
};

GossipEntry makeEntry(int number, uint64_t incarnation, uint32_t heartbeat, MemberState state)
{
    return { hostHash("host-" + std::to_string(number)), incarnation, heartbeat, state, 0 };
}

}

// Guards against a late message restoring an older incarnation, and against incarnationSuperseded being called not
// at all or twice.
Test(View, neverReturnsToAnOlderIncarnation)
{
    Fixture fixture;
    fixture.view.merge(GossipRecord { makeMember(1, 3, 5), 9 }, fixture.now);
    fixture.view.merge(GossipRecord { makeMember(1, 3, 8), 0 }, fixture.now);
    cr_assert_eq(fixture.superseded.size(), 1u);
    cr_assert_eq(fixture.superseded[0], "host-1:5-8");
    fixture.view.merge(GossipRecord { makeMember(1, 3, 5), 99 }, fixture.now);
    cr_assert(fixture.view.merge(makeEntry(1, 5, 100, MemberState::Left), fixture.now));
    cr_assert_eq(fixture.view.find("host-1")->incarnation, 8u);
    cr_assert(fixture.stateOf(1) == MemberState::Alive);
    cr_assert_eq(fixture.superseded.size(), 1u);
    // An entry alone does not supersede the older incarnation; the record with the addresses is needed.
    cr_assert_not(fixture.view.merge(makeEntry(1, 9, 0, MemberState::Alive), fixture.now));
    cr_assert_eq(fixture.view.find("host-1")->incarnation, 8u);
}

// Guards against daemons becoming suspect too late, never, or although messages from them are received, and against a
// draining daemon returning to alive.
Test(View, suspicionByDeadline)
{
    Fixture fixture;
    fixture.view.merge(GossipRecord { makeMember(1, 3), 0 }, fixture.now);
    fixture.view.merge(GossipRecord { makeMember(2, 3), 0 }, fixture.now);
    fixture.view.setLinked({ "host-1" }, fixture.now);
    fixture.now += seconds(4);
    fixture.view.recordDirectContact("host-1", fixture.now);
    fixture.now += seconds(4);
    fixture.view.suspectExpiredMembers(fixture.now);
    cr_assert(fixture.stateOf(1) == MemberState::Alive);
    fixture.now += seconds(2);
    fixture.view.suspectExpiredMembers(fixture.now);
    cr_assert(fixture.stateOf(1) == MemberState::Suspect);
    cr_assert(fixture.stateOf(2) == MemberState::Alive);
    fixture.view.merge(makeEntry(1, 1, 1, MemberState::Draining), fixture.now);
    cr_assert(fixture.stateOf(1) == MemberState::Draining);
    fixture.view.merge(makeEntry(1, 1, 0, MemberState::Alive), fixture.now);
    cr_assert(fixture.stateOf(1) == MemberState::Draining);
    fixture.view.merge(makeEntry(1, 1, 2, MemberState::Left), fixture.now);
    fixture.now += seconds(1000);
    fixture.view.suspectExpiredMembers(fixture.now);
    cr_assert(fixture.stateOf(1) == MemberState::Left);
    cr_assert(fixture.stateOf(2) == MemberState::Suspect);
}

// Guards against a daemon accepting the suspicion of itself.
Test(View, refutesOwnSuspicion)
{
    Fixture fixture;
    fixture.view.merge(makeEntry(0, 100, 0, MemberState::Suspect), fixture.now);
    cr_assert(fixture.view.self().state == MemberState::Alive);
    cr_assert_eq(fixture.view.entry(hostHash("host-0"))->heartbeat, 1u);
    fixture.view.merge(makeEntry(0, 99, 50, MemberState::Suspect), fixture.now);
    cr_assert_eq(fixture.view.entry(hostHash("host-0"))->heartbeat, 1u);
}

// Guards against views diverging when the same messages arrive in a different order or more than once.
Test(View, mergeDoesNotDependOnOrder)
{
    Core::seedRandom(31);
    for (int round = 0; round < 300; ++round) {
        std::vector<GossipRecord> records;
        for (int i = 0; i < 12; ++i) {
            GossipRecord record { makeMember(1, 3, 1 + Core::randomBelow(3)), static_cast<uint32_t>(Core::randomBelow(4)) };
            record.member.state = static_cast<MemberState>(Core::randomBelow(4));
            record.member.generation = record.member.incarnation * 10 + Core::randomBelow(5);
            records.push_back(record);
        }
        Fixture first;
        Fixture second;
        for (const GossipRecord& record : records)
            first.view.merge(record, first.now);
        std::vector<GossipRecord> repeated(records.begin(), records.begin() + 4);
        records.insert(records.end(), repeated.begin(), repeated.end());
        std::shuffle(records.begin(), records.end(), Core::randomGenerator());
        for (const GossipRecord& record : records)
            second.view.merge(record, second.now);
        cr_assert(first.view.entries() == second.view.entries(), "round %d", round);
    }
}

// Guards against keys moving between the remaining members when one is removed or added, and against skew.
Test(Rendezvous, onlyKeysOfTheLostMemberMove)
{
    std::vector<Member> members;
    for (int i = 0; i < 96; ++i)
        members.push_back(makeMember(i, 11));
    std::vector<Member> shuffled = members;
    Core::seedRandom(41);
    std::shuffle(shuffled.begin(), shuffled.end(), Core::randomGenerator());
    std::vector<Member> without = members;
    without.erase(without.begin() + 33);
    std::map<std::string, int> owned;
    for (int key = 0; key < 9600; ++key) {
        std::string text = "shard-" + std::to_string(key);
        std::vector<Member> order = rendezvousOrder(text, members);
        cr_assert(order == rendezvousOrder(text, shuffled));
        ++owned[order.front().host];
        std::erase_if(order, [](const Member& member) { return member.host == "host-33"; });
        cr_assert(order == rendezvousOrder(text, without));
    }
    for (const auto& [host, count] : owned)
        cr_assert(count > 50 && count < 160, "%s owns %d keys of 9600", host.c_str(), count);
    cr_assert_eq(owned.size(), 96u);
    cr_assert(rendezvousOrder("key", {}).empty());
}

// Guards against links that do not connect the whole fleet, and against daemons without links to other failure domains.
Test(ChooseLinks, connectsTheFleetAcrossDomains)
{
    for (int count : { 1, 2, 3, 6, 8, 96, 370 }) {
        int domains = count < 20 ? 3 : 11;
        std::vector<Member> members;
        for (int i = 0; i < count; ++i)
            members.push_back(makeMember(i, domains));
        std::map<std::string, std::set<std::string>> links;
        for (const Member& member : members) {
            std::vector<Member> chosen = chooseLinks(member, members);
            cr_assert_leq(chosen.size(), 6u);
            size_t others = 0;
            for (const Member& peer : chosen) {
                cr_assert_neq(peer.host, member.host);
                links[member.host].insert(peer.host);
                links[peer.host].insert(member.host);
                others += peer.failureDomain != member.failureDomain;
            }
            cr_assert(count < 6 || others >= 2);
        }
        std::set<std::string> reached { members[0].host };
        std::vector<std::string> open { members[0].host };
        while (!open.empty()) {
            std::string host = open.back();
            open.pop_back();
            for (const std::string& peer : links[host]) {
                if (reached.insert(peer).second)
                    open.push_back(peer);
            }
        }
        cr_assert_eq(reached.size(), static_cast<size_t>(count));
    }
}

// Guards against a daemon announcing the configured addresses instead of the bound ones, at which it cannot be reached.
Test(View, ownAddressesAreAnnounced)
{
    Fixture fixture;
    HostHash self = hostHash(fixture.view.self().host);
    uint64_t before = fixture.view.changes().rbegin()->first;
    fixture.view.setOwnAddresses({ "127.0.0.1", 7001 }, { "127.0.0.1", 7002 });
    std::optional<GossipRecord> record = fixture.view.record(self);
    cr_assert(record);
    cr_assert_eq(record->member.peerAddress, (Core::Address { "127.0.0.1", 7001 }));
    cr_assert_eq(record->member.callerAddress, (Core::Address { "127.0.0.1", 7002 }));
    cr_assert_gt(fixture.view.changes().rbegin()->first, before);
}
