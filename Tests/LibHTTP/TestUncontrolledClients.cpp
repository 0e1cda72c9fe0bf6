#include "LibHTTP/Server.h"
#include "RunTask.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <sys/socket.h>

// Clients that take more of a server than it has.

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr size_t maxBodyBytes = 1'000'000;

struct Fixture {
    asio::io_context context;
    Core::Signal release { context.get_executor() };
    size_t handled { 0 };
    HTTP::Server server { context.get_executor(), [this](HTTP::Request request, HTTP::ResponseWriter& writer) -> Core::Task<void> {
                             ++handled;
                             if (request.target == "/held")
                                 co_await release.wait(Core::Deadline::never());
                             Core::Reason ignored;
                             co_await writer.send({ 200, {}, std::to_string(request.body.size()) }, ignored);
                         },
        HTTP::ServerLimits { maxBodyBytes, 4096 } };
    Core::Address address;

    explicit Fixture(HTTP::ClientCapacity capacity)
    {
        Core::Reason reason;
        server.setCapacity(std::move(capacity));
        address = server.listen({ "127.0.0.1", 0 }, reason).value();
    }

    tcp::socket connect()
    {
        tcp::socket client(context);
        client.connect(tcp::endpoint(asio::ip::make_address(address.ip), address.port));
        client.non_blocking(true);
        return client;
    }

    // Sends while the server runs; ends early if it closes the connection.
    void send(tcp::socket& client, const std::string& bytes)
    {
        size_t sent = 0;
        boost::system::error_code error;
        while (sent < bytes.size() && (!error || error == asio::error::would_block)) {
            sent += client.send(asio::buffer(bytes.data() + sent, bytes.size() - sent), 0, error);
            run();
        }
    }

    void run()
    {
        context.restart();
        context.poll();
    }

    std::string receive(tcp::socket& client)
    {
        TestSupport::runUntil(context, [&client] {
            char byte = 0;
            return ::recv(client.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 || errno != EAGAIN;
        });
        std::string response(4096, 0);
        boost::system::error_code ignored;
        response.resize(client.receive(asio::buffer(response), 0, ignored));
        return response;
    }
};

std::string post(const std::string& target, size_t announcedBytes, size_t sentBytes)
{
    return "POST " + target + " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(announcedBytes) + "\r\n\r\n" + std::string(sentBytes, 'b');
}

}

// Guards against a refusal that doesn't say that the request has not run, or that the client can't read since its connection is reset.
Test(UncontrolledClients, requestBeyondTheMemoryIsRefusedReadably)
{
    Fixture fixture({ 1'000'000, 100, "0.25" });
    std::vector<tcp::socket> clients;
    for (int i = 0; i < 8; ++i) {
        clients.push_back(fixture.connect());
        fixture.send(clients.back(), post("/", maxBodyBytes, 300'000));
    }
    TestSupport::runUntil(fixture.context, [&fixture] { return fixture.server.memoryRefusals() >= 5; });
    cr_assert_leq(fixture.server.clientBytes(), 1'000'000);
    size_t refusals = 0;
    for (tcp::socket& client : clients) {
        char byte = 0;
        if (::recv(client.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0)
            continue;
        std::string response = fixture.receive(client);
        cr_assert(response.starts_with("HTTP/1.1 503"), "%s", response.c_str());
        cr_assert(response.find("Retry-After: 0.25") != std::string::npos && response.find(R"("ran":"not_run")") != std::string::npos, "%s", response.c_str());
        ++refusals;
    }
    cr_assert_geq(refusals, 5);
    tcp::socket ordinary = fixture.connect();
    fixture.send(ordinary, post("/", 1'000, 1'000));
    cr_assert(fixture.receive(ordinary).starts_with("HTTP/1.1 200"));
    cr_assert_eq(fixture.handled, 1);
}

// Guards against a refusal of an oversized body that is lost because the client still sends.
Test(UncontrolledClients, refusalOfAnOversizedBodyIsReadable)
{
    Fixture fixture({ 10'000'000, 100, "1" });
    tcp::socket client = fixture.connect();
    fixture.send(client, post("/", 100 * maxBodyBytes, 600'000));
    cr_assert(fixture.receive(client).starts_with("HTTP/1.1 413"));
    cr_assert_eq(fixture.handled, 0);
}

// Guards against connections of others ending a request that is being handled.
Test(UncontrolledClients, handledRequestOutlivesOtherConnections)
{
    Fixture fixture({ 10'000'000, 4, "1" });
    tcp::socket held = fixture.connect();
    fixture.send(held, post("/held", 10, 10));
    TestSupport::runUntil(fixture.context, [&fixture] { return fixture.handled == 1; });
    std::vector<tcp::socket> others;
    for (int i = 0; i < 50; ++i) {
        others.push_back(fixture.connect());
        fixture.send(others.back(), i % 2 ? "" : "GET / HT");
        fixture.run();
        cr_assert_leq(fixture.server.connections(), 4);
    }
    TestSupport::runUntil(fixture.context, [&fixture] { return fixture.server.displacedConnections() >= 47; });
    tcp::socket ordinary = fixture.connect();
    fixture.send(ordinary, post("/", 10, 10));
    cr_assert(fixture.receive(ordinary).starts_with("HTTP/1.1 200"));
    fixture.release.notifyAll();
    cr_assert(fixture.receive(held).starts_with("HTTP/1.1 200"));
}

// Guards against memory that stays accounted for after its request, which would end in refusing all requests.
Test(UncontrolledClients, memoryIsReturned)
{
    Fixture fixture({ 3'000'000, 100, "1" });
    for (int i = 0; i < 20; ++i) {
        tcp::socket client = fixture.connect();
        fixture.send(client, post("/", 500'000, 500'000));
        cr_assert(fixture.receive(client).starts_with("HTTP/1.1 200"));
        tcp::socket aborted = fixture.connect();
        fixture.send(aborted, post("/", 500'000, 200'000));
    }
    TestSupport::runUntil(fixture.context, [&fixture] { return fixture.server.connections() == 0; });
    cr_assert_eq(fixture.server.clientBytes(), 0);
    cr_assert_eq(fixture.server.memoryRefusals(), 0);
}
