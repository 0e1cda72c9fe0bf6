#include "SimulatedFleet.h"

#include "LibCore/Random.h"
#include <algorithm>
#include <criterion/criterion.h>

using namespace Membership;

static int countWithState(SimulatedFleet& fleet, int host, MemberState state)
{
    int count = 0;
    for (auto& [number, daemon] : fleet.daemons) {
        if (daemon.isUp && daemon.view->find("host-" + std::to_string(host))->state == state)
            ++count;
    }
    return count;
}

// Guards against a change that does not reach every daemon: a drain, a death and a new generation at 96 members.
Test(Gossip, convergesAt96Members)
{
    SimulatedFleet fleet(96, 11);
    for (int i = 0; i < 20; ++i)
        fleet.second();
    for (auto& [number, daemon] : fleet.daemons)
        cr_assert_eq(daemon.view->aliveMembers().size(), 96u, "daemon %d", number);

    fleet.daemons[5].view->setOwnState(MemberState::Draining);
    fleet.daemons[17].isUp = false;
    for (auto& [number, daemon] : fleet.daemons)
        daemon.view->setOwnGeneration(7);
    for (int i = 0; i < 20; ++i)
        fleet.second();
    cr_assert_eq(countWithState(fleet, 5, MemberState::Draining), 95);
    cr_assert_eq(countWithState(fleet, 17, MemberState::Suspect), 95);
    for (auto& [number, daemon] : fleet.daemons) {
        for (const Member& member : daemon.view->members())
            cr_assert(!daemon.isUp || member.host == "host-17" || member.generation == 7, "daemon %d has %s at %lu", number, member.host.c_str(), member.generation);
    }
}

// Guards against a paused daemon that stays suspected after it resumes, and against other daemons being suspected
// with it.
Test(Gossip, pausedDaemonRefutesSuspicion)
{
    SimulatedFleet fleet(96, 11);
    for (int i = 0; i < 20; ++i)
        fleet.second();
    fleet.daemons[40].isUp = false;
    for (int i = 0; i < 15; ++i)
        fleet.second();
    cr_assert_eq(countWithState(fleet, 40, MemberState::Suspect), 95);
    fleet.daemons[40].isUp = true;
    for (int i = 0; i < 30; ++i)
        fleet.second();
    for (int host = 0; host < 96; ++host)
        cr_assert_eq(countWithState(fleet, host, MemberState::Alive), 96, "host %d", host);
}

// Guards against a restart that is taken for the old process, or whose proof does not reach every daemon, and against
// a joining daemon that stays unknown.
Test(Gossip, restartAndJoinReachEveryDaemon)
{
    SimulatedFleet fleet(96, 11);
    for (int i = 0; i < 20; ++i)
        fleet.second();
    fleet.start(30, 2, 96);
    fleet.start(96, 1, 97);
    for (int i = 0; i < 40; ++i)
        fleet.second();
    for (auto& [number, daemon] : fleet.daemons) {
        cr_assert(daemon.view->find("host-96"), "daemon %d", number);
        cr_assert_eq(daemon.view->find("host-30")->incarnation, 2u, "daemon %d", number);
        cr_assert_eq(daemon.view->aliveMembers().size(), 97u, "daemon %d", number);
        if (number == 30 || number == 96)
            continue;
        cr_assert_eq(daemon.superseded.size(), 1u, "daemon %d", number);
        cr_assert_eq(daemon.superseded[0].second, 2u);
    }
}

// Guards against gossip that exceeds the byte budget at the design size: 370 daemons, ten minutes in which 350 changes
// a day (two) and a restart happen.
Test(Gossip, staysWithinByteBudgetAt370Daemons)
{
    constexpr int seconds = 600;
    SimulatedFleet fleet(370, 11);
    for (int i = 0; i < 60; ++i)
        fleet.second();
    std::map<int, size_t> before;
    std::map<int, size_t> messagesBefore;
    for (auto& [number, daemon] : fleet.daemons) {
        before[number] = daemon.bytesSent;
        messagesBefore[number] = daemon.messagesSent;
    }
    for (int i = 0; i < seconds; ++i) {
        if (i % 300 == 100) {
            for (auto& [number, daemon] : fleet.daemons)
                daemon.view->setOwnGeneration(static_cast<uint64_t>(1000 + i));
        }
        fleet.second();
    }
    size_t total = 0;
    size_t largest = 0;
    size_t messages = 0;
    for (auto& [number, daemon] : fleet.daemons) {
        total += daemon.bytesSent - before[number];
        largest = std::max(largest, daemon.bytesSent - before[number]);
        messages += daemon.messagesSent - messagesBefore[number];
    }
    cr_log_info("payload bytes/s sent by each daemon: mean %zu, largest %zu; messages/s %zu", total / 370 / seconds, largest / seconds, messages / 370 / seconds);
    cr_assert_lt(largest / seconds, 1000u);
}

// Guards against a codec that loses a part, and against random bytes that make it throw.
Test(Gossip, codecRoundTripAndRandomBytes)
{
    GossipMessage message;
    message.confirmed = ConfirmedIntent { 12, std::chrono::milliseconds(900) };
    message.entries = { { 7, 1'700'000'000'000'000, 3, MemberState::Suspect, 12 } };
    message.generations = { { 13, { 1, 0xffffffff, 256 } } };
    message.records = { { memberNamed(3, 2, 9), 4 } };
    message.wanted = { 5, 6 };
    Core::Reason reason;
    std::string bytes = GossipCodec::encode(message);
    cr_assert(GossipCodec::decode(bytes, reason) == message);
    cr_assert_leq(GossipCodec::encode({}).size(), 1u);

    Core::seedRandom(21);
    for (int round = 0; round < 20000; ++round) {
        std::string mutated = bytes;
        for (size_t edits = 1 + Core::randomBelow(4); edits > 0; --edits)
            mutated[Core::randomBelow(mutated.size())] = static_cast<char>(Core::randomBelow(256));
        GossipCodec::decode(mutated, reason);
        GossipCodec::decode(mutated.substr(Core::randomBelow(mutated.size())), reason);
    }
}
