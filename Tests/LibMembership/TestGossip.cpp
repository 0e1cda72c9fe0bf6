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

// Guards against changes not reaching every daemon: a drain, a failed daemon and a new generation in a fleet of 96.
Test(Gossip, convergesAt96Members)
{
    SimulatedFleet fleet(96, 11);
    for (int i = 0; i < 20; ++i)
        fleet.advanceOneSecond();
    for (auto& [number, daemon] : fleet.daemons)
        cr_assert_eq(daemon.view->aliveMembers().size(), 96u, "daemon %d", number);

    fleet.daemons[5].view->setOwnState(MemberState::Draining);
    fleet.daemons[17].isUp = false;
    for (auto& [number, daemon] : fleet.daemons)
        daemon.view->setOwnGeneration(7);
    for (int i = 0; i < 20; ++i)
        fleet.advanceOneSecond();
    cr_assert_eq(countWithState(fleet, 5, MemberState::Draining), 95);
    cr_assert_eq(countWithState(fleet, 17, MemberState::Suspect), 95);
    for (auto& [number, daemon] : fleet.daemons) {
        for (const Member& member : daemon.view->members())
            cr_assert(!daemon.isUp || member.host == "host-17" || member.generation == 7, "daemon %d has %s at %lu", number, member.host.c_str(), member.generation);
    }
}

// Guards against a paused daemon remaining suspect after it resumes, and against other daemons becoming suspect
// because of it.
Test(Gossip, pausedDaemonRefutesSuspicion)
{
    SimulatedFleet fleet(96, 11);
    for (int i = 0; i < 20; ++i)
        fleet.advanceOneSecond();
    fleet.daemons[40].isUp = false;
    for (int i = 0; i < 15; ++i)
        fleet.advanceOneSecond();
    cr_assert_eq(countWithState(fleet, 40, MemberState::Suspect), 95);
    fleet.daemons[40].isUp = true;
    for (int i = 0; i < 30; ++i)
        fleet.advanceOneSecond();
    for (int host = 0; host < 96; ++host)
        cr_assert_eq(countWithState(fleet, host, MemberState::Alive), 96, "host %d", host);
}

// Guards against a restarted daemon being taken for its old process, against daemons not being told that the old
// incarnation is superseded, and against a joining daemon remaining unknown.
Test(Gossip, restartAndJoinReachEveryDaemon)
{
    SimulatedFleet fleet(96, 11);
    for (int i = 0; i < 20; ++i)
        fleet.advanceOneSecond();
    fleet.start(30, 2, 96);
    fleet.start(96, 1, 97);
    for (int i = 0; i < 40; ++i)
        fleet.advanceOneSecond();
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

// Guards against a restarted daemon keeping an outdated entry because its peers assume that it still has the newer one.
Test(Gossip, restartedDaemonLearnsWhatItHadBefore)
{
    SimulatedFleet fleet(12, 3);
    fleet.daemons[5].view->setOwnState(MemberState::Draining);
    for (int i = 0; i < 20; ++i)
        fleet.advanceOneSecond();
    cr_assert_eq(countWithState(fleet, 5, MemberState::Draining), 12);
    fleet.start(7, 2, 12);
    cr_assert_eq(countWithState(fleet, 5, MemberState::Draining), 11);
    for (int i = 0; i < 20; ++i)
        fleet.advanceOneSecond();
    cr_assert_eq(countWithState(fleet, 5, MemberState::Draining), 12);
}

// Guards against gossip exceeding its byte budget at the design size of 370 daemons, and against slow propagation of a
// new generation, which an operator waits for. Runs for one heartbeat period, in which each daemon increments its
// heartbeat once and one note is accepted. This is more than the expected 350 notes a day.
Test(Gossip, staysWithinByteBudgetAt370Daemons)
{
    constexpr int seconds = 180;
    constexpr uint64_t newGeneration = 1001;
    SimulatedFleet fleet(370, 11);
    for (int i = 0; i < 60; ++i)
        fleet.advanceOneSecond();
    std::map<int, size_t> before;
    size_t messagesBefore = 0;
    for (auto& [number, daemon] : fleet.daemons) {
        before[number] = daemon.bytesSent;
        messagesBefore += daemon.messagesSent;
    }
    size_t largestSecond = 0;
    int secondsToConverge = 0;
    for (int i = 0; i < seconds; ++i) {
        std::map<int, size_t> secondBefore;
        for (auto& [number, daemon] : fleet.daemons) {
            secondBefore[number] = daemon.bytesSent;
            if (i == 100)
                daemon.view->setOwnGeneration(newGeneration);
        }
        fleet.advanceOneSecond();
        bool isConverged = true;
        for (auto& [number, daemon] : fleet.daemons) {
            largestSecond = std::max(largestSecond, daemon.bytesSent - secondBefore[number]);
            for (const GossipEntry& entry : daemon.view->entries())
                isConverged = isConverged && entry.generation == newGeneration;
        }
        if (i >= 100 && !isConverged)
            secondsToConverge = i - 100 + 2;
    }
    size_t total = 0;
    size_t largest = 0;
    size_t messages = 0;
    for (auto& [number, daemon] : fleet.daemons) {
        total += daemon.bytesSent - before[number];
        largest = std::max(largest, daemon.bytesSent - before[number]);
        messages += daemon.messagesSent;
    }
    cr_log_info("payload sent by each daemon: mean %zu B/s, largest %zu B/s, largest in one second %zu B; %zu messages/s; new generation known everywhere after %d s",
        total / 370 / seconds, largest / seconds, largestSecond, (messages - messagesBefore) / 370 / seconds, secondsToConverge);
    cr_assert_lt(largest / seconds, 1000u);
    cr_assert_leq(secondsToConverge, 6);
}

// Guards against fields being lost by the codec, and against corrupted messages making it throw.
Test(Gossip, codecRoundTripAndRandomBytes)
{
    GossipMessage message;
    message.confirmed = ConfirmedIntent { 12, std::chrono::milliseconds(900) };
    message.entries = { { 7, 1'700'000'000'000'000, 3, MemberState::Suspect, 12 } };
    message.generations = { { 13, { 1, 0xffffffff, 256 } } };
    message.records = { { makeMember(3, 2, 9), 4 } };
    message.requestedRecords = { 5, 6 };
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
