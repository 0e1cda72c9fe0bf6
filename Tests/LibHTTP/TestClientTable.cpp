#include "ClientTable.h"

#include <criterion/criterion.h>
#include <memory>
#include <vector>

using HTTP::ClientTable;
using Phase = ClientTable::Phase;

namespace {

constexpr size_t maxBytes = 1'600'000;
constexpr size_t maxReadingBytes = maxBytes / 4 * 3;

struct Fixture {
    ClientTable table;
    Core::SteadyClock::time_point now {};
    std::vector<std::unique_ptr<ClientTable::Client>> clients;
    std::vector<size_t> refused;
    std::vector<size_t> closed;
    bool isIdle { true };

    explicit Fixture(size_t maxConnections = 100)
    {
        table.setCapacity({ maxBytes, maxConnections, "1" });
    }

    ClientTable::Client& add(Phase phase)
    {
        size_t number = clients.size();
        ClientTable::Hooks hooks { [this, number](ClientTable::Drop how) { (how == ClientTable::Drop::Refuse ? refused : closed).push_back(number); }, [this] { return isIdle; } };
        clients.push_back(std::make_unique<ClientTable::Client>(table, std::move(hooks), now));
        clients.back()->setPhase(phase, now);
        return *clients.back();
    }

    void pass(int milliseconds) { now += std::chrono::milliseconds(milliseconds); }
};

}

// Guards against bodies that stop just short of their end keeping out those that still arrive.
Test(ClientTable, slowestForWhatItReservesIsDroppedFirst)
{
    Fixture fixture;
    ClientTable::Client& stalled = fixture.add(Phase::Reading);
    ClientTable::Client& active = fixture.add(Phase::Reading);
    ClientTable::Client& small = fixture.add(Phase::Reading);
    cr_assert(stalled.reserveRequest(500'000, fixture.now));
    cr_assert(small.reserveRequest(2'000, fixture.now));
    for (size_t bytes = 100'000; bytes <= 800'000; bytes += 100'000) {
        fixture.pass(500);
        cr_assert(active.reserveRequest(bytes, fixture.now), "the active client was dropped at %zu bytes", bytes);
    }
    cr_assert(stalled.isDropped());
    cr_assert_not(small.isDropped());
    cr_assert_not(stalled.reserveRequest(600'000, fixture.now));
    cr_assert_eq(fixture.refused, (std::vector<size_t> { 0 }));
    cr_assert_eq(fixture.table.usedBytes(), 802'000);
    cr_assert_eq(fixture.table.counters().memoryRefusals, 1);
}

// Guards against a sum of reserved bytes beyond the limit, over generated sequences, and against dropping a request that is being handled.
Test(ClientTable, sumStaysWithinTheLimit)
{
    static constexpr int steps = 20'000;
    Fixture fixture;
    uint64_t random = 1;
    auto next = [&random](uint64_t limit) {
        random = random * 6364136223846793005ull + 1442695040888963407ull;
        return static_cast<size_t>((random >> 33) % limit);
    };
    for (int i = 0; i < 60; ++i)
        fixture.add(Phase::Reading);
    std::vector<size_t> reserved(fixture.clients.size());
    for (int step = 0; step < steps; ++step) {
        size_t number = next(fixture.clients.size());
        std::unique_ptr<ClientTable::Client>& client = fixture.clients[number];
        fixture.pass(static_cast<int>(next(50)));
        if (client->isDropped() || next(40) == 0) {
            client.reset();
            client = std::make_unique<ClientTable::Client>(fixture.table, ClientTable::Hooks { [](ClientTable::Drop) {}, [] { return true; } }, fixture.now);
            client->setPhase(Phase::Reading, fixture.now);
            reserved[number] = 0;
        }
        reserved[number] += next(80'000);
        client->reserveRequest(reserved[number], fixture.now);
        size_t sum = 0;
        for (size_t i = 0; i < reserved.size(); ++i)
            sum += fixture.clients[i]->isDropped() ? 0 : reserved[i];
        cr_assert_eq(fixture.table.usedBytes(), sum, "step %d", step);
        cr_assert_leq(sum, maxBytes / 8 * 7, "step %d", step);
    }
    cr_assert_gt(fixture.table.counters().memoryRefusals, 0);
    fixture.clients.clear();
    cr_assert_eq(fixture.table.usedBytes(), 0);
    cr_assert_eq(fixture.table.connections(), 0);
}

// Guards against ending requests that were read and passed on when memory or connections are short.
Test(ClientTable, handledRequestsAreNotDropped)
{
    Fixture fixture(3);
    for (int i = 0; i < 3; ++i) {
        ClientTable::Client& client = fixture.add(Phase::Reading);
        cr_assert(client.reserveRequest(maxReadingBytes / 3, fixture.now));
        client.setPhase(Phase::Handling, fixture.now);
    }
    fixture.pass(60'000);
    cr_assert_not(fixture.table.admit());
    ClientTable::Client& large = fixture.add(Phase::Reading);
    cr_assert_not(large.reserveRequest(100'000, fixture.now));
    // A small request is served beside large ones, and their responses have room.
    ClientTable::Client& small = fixture.add(Phase::Reading);
    cr_assert(small.reserveRequest(10'000, fixture.now));
    cr_assert(fixture.clients[0]->reserveResponse(100'000, fixture.now));
    cr_assert_eq(fixture.refused, (std::vector<size_t> { 3 }));
    cr_assert(fixture.closed.empty());
}

// Guards against responses that are not read taking the memory from requests and from responses that are.
Test(ClientTable, unreadResponsesAreDropped)
{
    Fixture fixture;
    ClientTable::Client& unread = fixture.add(Phase::Handling);
    ClientTable::Client& read = fixture.add(Phase::Handling);
    cr_assert(unread.reserveResponse(700'000, fixture.now));
    cr_assert(read.reserveResponse(700'000, fixture.now));
    fixture.pass(4'000);
    read.recordSent(1'000, fixture.now);
    ClientTable::Client& next = fixture.add(Phase::Handling);
    cr_assert(next.reserveResponse(700'000, fixture.now));
    cr_assert(unread.isDropped());
    cr_assert_not(read.isDropped());
    cr_assert_eq(fixture.closed, (std::vector<size_t> { 0 }));
    cr_assert_eq(fixture.table.counters().unreadResponses, 1);
}

// Guards against connections that stay open without a request keeping others out, and against closing one whose request has arrived.
Test(ClientTable, oldestIdleConnectionIsClosedFirst)
{
    Fixture fixture(3);
    fixture.add(Phase::Reading);
    fixture.add(Phase::Idle);
    fixture.add(Phase::Idle);
    // Served a request in between, so it has been idle for less time.
    fixture.clients[1]->setPhase(Phase::Handling, fixture.now);
    fixture.clients[1]->setPhase(Phase::Idle, fixture.now);
    cr_assert(fixture.table.admit());
    cr_assert_eq(fixture.closed, (std::vector<size_t> { 2 }));
    fixture.add(Phase::Idle);
    fixture.isIdle = false;
    cr_assert(fixture.table.admit());
    cr_assert_eq(fixture.closed, (std::vector<size_t> { 2, 0 }));
    cr_assert_eq(fixture.table.connections(), 2);
    cr_assert_eq(fixture.table.counters().closedConnections, 2);
}

// Guards against dropping requests although that does not make enough room for a large one.
Test(ClientTable, onlyTheAskerIsDroppedIfOthersDoNotSuffice)
{
    Fixture fixture;
    ClientTable::Client& handled = fixture.add(Phase::Reading);
    cr_assert(handled.reserveRequest(1'000'000, fixture.now));
    handled.setPhase(Phase::Handling, fixture.now);
    ClientTable::Client& stalled = fixture.add(Phase::Reading);
    cr_assert(stalled.reserveRequest(50'000, fixture.now));
    fixture.pass(10'000);
    ClientTable::Client& asker = fixture.add(Phase::Reading);
    cr_assert_not(asker.reserveRequest(300'000, fixture.now));
    cr_assert_not(stalled.isDropped());
    cr_assert_eq(fixture.refused, (std::vector<size_t> { 2 }));
}

// Guards against large uploads that keep ordinary requests out.
Test(ClientTable, smallRequestsAreNotDroppedForALargeOne)
{
    Fixture fixture;
    for (int i = 0; i < 55; ++i)
        cr_assert(fixture.add(Phase::Reading).reserveRequest(20'000, fixture.now));
    fixture.pass(1'500);
    ClientTable::Client& large = fixture.add(Phase::Reading);
    cr_assert_not(large.reserveRequest(200'000, fixture.now));
    cr_assert_eq(fixture.refused, (std::vector<size_t> { 55 }));
}

// Guards against streams that are cut because requests and responses fill the memory.
Test(ClientTable, chunkDoesNotDropItsStream)
{
    Fixture fixture;
    ClientTable::Client& other = fixture.add(Phase::Handling);
    cr_assert(other.reserveResponse(maxBytes, fixture.now));
    ClientTable::Client& stream = fixture.add(Phase::Handling);
    stream.reserveChunk(64'000, fixture.now);
    cr_assert_not(stream.isDropped());
    cr_assert_not(other.isDropped());
    stream.reserveChunk(0, fixture.now);
    cr_assert_eq(fixture.table.usedBytes(), maxBytes);
}

// Guards against ending the response of a request that has run to make room for an upload.
Test(ClientTable, responsesAreNotDroppedForRequests)
{
    Fixture fixture;
    ClientTable::Client& unread = fixture.add(Phase::Handling);
    cr_assert(unread.reserveResponse(1'000'000, fixture.now));
    fixture.pass(60'000);
    ClientTable::Client& upload = fixture.add(Phase::Reading);
    cr_assert_not(upload.reserveRequest(400'000, fixture.now));
    cr_assert_not(unread.isDropped());
}

// Guards against ending a response while requests that have not run could be refused.
Test(ClientTable, requestsAreDroppedBeforeResponses)
{
    Fixture fixture;
    ClientTable::Client& unread = fixture.add(Phase::Handling);
    cr_assert(unread.reserveResponse(600'000, fixture.now));
    fixture.pass(60'000);
    ClientTable::Client& upload = fixture.add(Phase::Reading);
    cr_assert(upload.reserveRequest(500'000, fixture.now));
    fixture.pass(500);
    ClientTable::Client& next = fixture.add(Phase::Handling);
    cr_assert(next.reserveResponse(700'000, fixture.now));
    cr_assert_not(unread.isDropped());
    cr_assert(upload.isDropped());
}

// Guards against taking a slow client for one that has stopped: a lost packet is sent again after 1 s, and the system takes no more of a
// response until a large part of its buffer is free.
Test(ClientTable, slowReadersAreNotDropped)
{
    Fixture fixture;
    size_t unsentBytes = 200'000;
    ClientTable::Hooks hooks { [](ClientTable::Drop) {}, [] { return false; } };
    hooks.unsentBytes = [&unsentBytes] { return unsentBytes; };
    ClientTable::Client slow(fixture.table, hooks, fixture.now);
    slow.setPhase(Phase::Handling, fixture.now);
    ClientTable::Client& next = fixture.add(Phase::Handling);
    cr_assert(slow.reserveResponse(1'000'000, fixture.now));
    fixture.pass(2'000);
    cr_assert_not(next.reserveResponse(700'000, fixture.now));
    cr_assert_not(slow.isDropped());
    fixture.pass(8'000);
    unsentBytes = 190'000;
    ClientTable::Client& second = fixture.add(Phase::Handling);
    cr_assert_not(second.reserveResponse(700'000, fixture.now));
    cr_assert_not(slow.isDropped());
    fixture.pass(4'000);
    ClientTable::Client& third = fixture.add(Phase::Handling);
    cr_assert(third.reserveResponse(700'000, fixture.now));
    cr_assert(slow.isDropped());
}

// Guards against a body that arrived fast and then stopped outliving one that arrives slowly.
Test(ClientTable, earlierSpeedDoesNotCountOnceAClientHasStopped)
{
    Fixture fixture;
    ClientTable::Client& stopped = fixture.add(Phase::Reading);
    cr_assert(stopped.reserveRequest(500'000, fixture.now));
    ClientTable::Client& slow = fixture.add(Phase::Reading);
    cr_assert(slow.reserveRequest(300'000, fixture.now));
    for (size_t bytes = 301'000; bytes <= 310'000; bytes += 1'000) {
        fixture.pass(900);
        cr_assert(slow.reserveRequest(bytes, fixture.now));
    }
    fixture.pass(500);
    ClientTable::Client& third = fixture.add(Phase::Reading);
    cr_assert(third.reserveRequest(500'000, fixture.now));
    cr_assert(stopped.isDropped());
    cr_assert_not(slow.isDropped());
}
