#include "LibHTTP/BufferBudget.h"
#include "LibHTTP/Client.h"
#include "RawServer.h"
#include "RunTask.h"

#include <criterion/criterion.h>
#include <fstream>
#include <functional>
#include <limits>
#include <unistd.h>

// The memory that one process uses for the responses of many servers at once.

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using HTTP::BufferBudget;
using TestSupport::RawServer;

static constexpr size_t budgetBytes = 32 * 1024 * 1024;
static constexpr size_t soundBodyBytes = 100'000;

// Answers with the head and then with the filler until the peer closes.
static RawServer::Script endless(std::string head, size_t fillerBytes = 64 * 1024)
{
    std::shared_ptr<const std::string> filler = std::make_shared<const std::string>(fillerBytes, 'x');
    return [head = std::move(head), filler](tcp::socket& socket) -> Core::Task<void> {
        if (!co_await TestSupport::readRawRequest(socket))
            co_return;
        std::string bytes = head;
        auto [headError, headSize] = co_await asio::async_write(socket, asio::buffer(bytes), TestSupport::rawTuple);
        bool isOpen = !headError;
        while (isOpen) {
            auto [error, size] = co_await asio::async_write(socket, asio::buffer(*filler), TestSupport::rawTuple);
            isOpen = !error;
        }
    };
}

// Answers each request of a connection with a body of the given size.
static RawServer::Script sound()
{
    std::shared_ptr<const std::string> answer = std::make_shared<const std::string>(
        "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: " + std::to_string(soundBodyBytes) + "\r\n\r\n" + std::string(soundBodyBytes, 's'));
    return [answer](tcp::socket& socket) -> Core::Task<void> {
        while (co_await TestSupport::readRawRequest(socket)) {
            auto [error, size] = co_await asio::async_write(socket, asio::buffer(*answer), TestSupport::rawTuple);
            if (error)
                co_return;
        }
    };
}

static size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    size_t total = 0;
    size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<size_t>(::sysconf(_SC_PAGESIZE));
}

// Freed memory stays resident for a while under AddressSanitizer.
#if defined(__has_feature)
#if __has_feature(address_sanitizer)
#define IS_RESIDENT_MEMORY_EXACT 0
#endif
#endif
#ifndef IS_RESIDENT_MEMORY_EXACT
#define IS_RESIDENT_MEMORY_EXACT 1
#endif

namespace {

struct Fixture {
    boost::asio::io_context context;
    std::shared_ptr<BufferBudget> budget { std::make_shared<BufferBudget>(budgetBytes) };
    HTTP::Client client { context.get_executor(), budget };
    bool isOver { false };
    size_t running { 0 };
    size_t complete { 0 };
    size_t failed { 0 };

    // Requests the address again and again.
    Core::Task<void> call(Core::Address address)
    {
        while (!isOver) {
            Core::Reason reason;
            std::optional<HTTP::Response> response = co_await client.roundTrip(address, { "GET", "/", { { "Content-Length", "0" } }, {} }, Core::Deadline::after(std::chrono::seconds(30)), reason);
            ++(response ? complete : failed);
            co_await Core::sleepUntil(Core::Deadline::after(std::chrono::milliseconds(5)));
        }
        --running;
    }

    void start(const Core::Address& address, size_t calls)
    {
        running += calls;
        for (size_t i = 0; i < calls; ++i)
            Core::spawn(context.get_executor(), "call", call(address));
    }

    // Runs the calls until the condition holds and returns by how much the process grew at most.
    size_t runUntil(const std::function<bool()>& isDone)
    {
        size_t before = residentBytes();
        size_t most = before;
        TestSupport::runUntil(context, [&] {
            most = std::max(most, residentBytes());
            cr_assert_leq(budget->usedBytes(), budgetBytes);
            return isDone();
        });
        return most - before;
    }
};

}

// Guards against one faulty server, or several, taking up the memory of the host with many responses without end at once, each within
// the limit for one response. Each part of a response is tried.
Test(ResponseMemory, manyResponsesWithoutEndStayWithinTheBudget)
{
    static constexpr size_t calls = 300;
    // The budget, the servers, which run in this process too, and unused parts of allocations.
    static constexpr size_t maxGrowth = 2 * budgetBytes;
    const std::vector<std::pair<const char*, std::string>> heads {
        { "no HTTP", "" },
        { "header", "HTTP/1.1 200 OK\r\nA: " },
        { "chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=" },
        { "trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nA: " },
        { "body with a length", "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n" },
        { "body without a length", "HTTP/1.1 200 OK\r\n\r\n" },
        { "body of a failure", "HTTP/1.1 503 Busy\r\n\r\n" },
    };
    for (size_t faultyServers : { size_t { 1 }, size_t { 3 } }) {
        for (const auto& [name, head] : heads) {
            Fixture fixture;
            std::vector<std::unique_ptr<RawServer>> servers;
            for (size_t i = 0; i < faultyServers; ++i) {
                servers.push_back(std::make_unique<RawServer>(fixture.context, endless(head)));
                fixture.start(servers.back()->address(), calls / faultyServers);
            }
            size_t growth = fixture.runUntil([&fixture] { return fixture.failed >= calls / 2; });
            if (IS_RESIDENT_MEMORY_EXACT)
                cr_expect_lt(growth, maxGrowth, "%s from %zu servers: %zu bytes", name, faultyServers, growth);
            cr_expect_eq(fixture.complete, 0);
        }
    }
}

// Guards against faulty servers that take the memory from sound ones, whose responses would fail.
Test(ResponseMemory, responsesOfSoundServersArriveBesideFaultyOnes)
{
    for (size_t faultyServers : { size_t { 1 }, size_t { 3 } }) {
        Fixture fixture;
        std::vector<std::unique_ptr<RawServer>> servers;
        for (size_t i = 0; i < faultyServers; ++i) {
            servers.push_back(std::make_unique<RawServer>(fixture.context, endless("HTTP/1.1 200 OK\r\n\r\n")));
            fixture.start(servers.back()->address(), 300 / faultyServers);
        }
        RawServer soundServer(fixture.context, sound());
        size_t complete = 0;
        size_t failed = 0;
        auto callSound = [&]() -> Core::Task<void> {
            while (!fixture.isOver) {
                Core::Reason reason;
                std::optional<HTTP::Response> response = co_await fixture.client.roundTrip(soundServer.address(), { "GET", "/", { { "Content-Length", "0" } }, {} }, Core::Deadline::after(std::chrono::seconds(30)), reason);
                ++(response && response->body.size() == soundBodyBytes ? complete : failed);
            }
        };
        for (int i = 0; i < 10; ++i)
            Core::spawn(fixture.context.get_executor(), "call", callSound());
        fixture.runUntil([&] { return fixture.budget->refusals() >= 50 && complete + failed >= 50; });
        cr_assert_eq(failed, 0, "%zu of %zu failed beside %zu faulty servers", failed, complete + failed, faultyServers);
    }
}

// Guards against memory that stays accounted for after its response has gone, which would end in refusing all responses.
Test(ResponseMemory, budgetIsReturned)
{
    Fixture fixture;
    RawServer faultyServer(fixture.context, endless("HTTP/1.1 200 OK\r\n\r\n"));
    RawServer soundServer(fixture.context, sound());
    fixture.start(faultyServer.address(), 50);
    fixture.start(soundServer.address(), 50);
    fixture.runUntil([&fixture] { return fixture.failed >= 50 && fixture.complete >= 50; });
    fixture.isOver = true;
    TestSupport::runUntil(fixture.context, [&fixture] { return fixture.running == 0; });
    cr_assert_eq(fixture.budget->usedBytes(), 0);
}

// Guards against a peer that uses more than half of what is free, and against one that is left without any memory.
Test(BufferBudget, aPeerUsesAtMostHalfOfWhatIsFree)
{
    std::shared_ptr<BufferBudget> budget = std::make_shared<BufferBudget>(300);
    BufferBudget::Reservation first(budget, { "10.0.0.1", 1 });
    BufferBudget::Reservation firstAgain(budget, { "10.0.0.1", 1 });
    BufferBudget::Reservation second(budget, { "10.0.0.2", 1 });
    cr_assert(first.resize(60));
    cr_assert(firstAgain.resize(40));
    cr_assert_not(firstAgain.resize(41));
    cr_assert_not(first.resize(61));
    cr_assert(second.resize(66));
    cr_assert_not(second.resize(67));
    cr_assert_eq(budget->usedBytes(), 166);
    cr_assert_eq(budget->refusals(), 3);
    // A smaller size is always possible.
    cr_assert(first.resize(10));
    {
        BufferBudget::Reservation third(budget, { "10.0.0.3", 1 });
        cr_assert(third.resize(50));
        cr_assert_not(third.resize(std::numeric_limits<size_t>::max()));
        cr_assert_eq(budget->usedBytes(), 166);
    }
    cr_assert_eq(budget->usedBytes(), 116);
}
