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
Test(ClientTable, slowestForWhatItHoldsIsDroppedFirst)
{
    Fixture fixture;
    ClientTable::Client& stalled = fixture.add(Phase::Reading);
    ClientTable::Client& moving = fixture.add(Phase::Reading);
    ClientTable::Client& small = fixture.add(Phase::Reading);
    cr_assert(stalled.holdRequest(500'000, fixture.now));
    cr_assert(small.holdRequest(2'000, fixture.now));
    for (size_t bytes = 100'000; bytes <= 800'000; bytes += 100'000) {
        fixture.pass(500);
        cr_assert(moving.holdRequest(bytes, fixture.now), "the moving client was dropped at %zu bytes", bytes);
    }
    cr_assert(stalled.isDropped());
    cr_assert_not(small.isDropped());
    cr_assert_not(stalled.holdRequest(600'000, fixture.now));
    cr_assert_eq(fixture.refused, (std::vector<size_t> { 0 }));
    cr_assert_eq(fixture.table.usedBytes(), 802'000);
    cr_assert_eq(fixture.table.counters().memoryRefusals, 1);
}

// Guards against a sum of held bytes beyond the limit, over generated sequences, and against dropping a request that is being handled.
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
    std::vector<size_t> held(fixture.clients.size());
    for (int step = 0; step < steps; ++step) {
        size_t number = next(fixture.clients.size());
        std::unique_ptr<ClientTable::Client>& client = fixture.clients[number];
        fixture.pass(static_cast<int>(next(50)));
        if (client->isDropped() || next(40) == 0) {
            client.reset();
            client = std::make_unique<ClientTable::Client>(fixture.table, ClientTable::Hooks { [](ClientTable::Drop) {}, [] { return true; } }, fixture.now);
            client->setPhase(Phase::Reading, fixture.now);
            held[number] = 0;
        }
        held[number] += next(80'000);
        client->holdRequest(held[number], fixture.now);
        size_t sum = 0;
        for (size_t i = 0; i < held.size(); ++i)
            sum += fixture.clients[i]->isDropped() ? 0 : held[i];
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
        cr_assert(client.holdRequest(maxReadingBytes / 3, fixture.now));
        client.setPhase(Phase::Handling, fixture.now);
    }
    fixture.pass(60'000);
    cr_assert_not(fixture.table.admit());
    ClientTable::Client& large = fixture.add(Phase::Reading);
    cr_assert_not(large.holdRequest(100'000, fixture.now));
    // A small request is served beside large ones, and their responses have room.
    ClientTable::Client& small = fixture.add(Phase::Reading);
    cr_assert(small.holdRequest(10'000, fixture.now));
    cr_assert(fixture.clients[0]->holdResponse(100'000, fixture.now));
    cr_assert_eq(fixture.refused, (std::vector<size_t> { 3 }));
    cr_assert(fixture.closed.empty());
}

// Guards against responses that are not read taking the memory from requests and from responses that are.
Test(ClientTable, unreadResponsesAreDropped)
{
    Fixture fixture;
    ClientTable::Client& unread = fixture.add(Phase::Handling);
    ClientTable::Client& read = fixture.add(Phase::Handling);
    cr_assert(unread.holdResponse(700'000, fixture.now));
    cr_assert(read.holdResponse(700'000, fixture.now));
    fixture.pass(2'000);
    read.recordSent(1'000, fixture.now);
    ClientTable::Client& next = fixture.add(Phase::Handling);
    cr_assert(next.holdResponse(700'000, fixture.now));
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
