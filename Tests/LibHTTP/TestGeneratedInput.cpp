#include "LibHTTP/Client.h"
#include "LibHTTP/Server.h"
#include "Mutation.h"
#include "RawServer.h"
#include "RunTask.h"
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <thread>

static constexpr int mutationCount = 300;

static Core::Task<void> echo(HTTP::Request request, HTTP::ResponseWriter& writer)
{
    Core::Reason reason;
    co_await writer.send({ 200, {}, request.body }, reason);
}

// Runs a server on its own thread, so that the test can use blocking sockets.
struct ServerThread {
    boost::asio::io_context context;
    HTTP::Server server { context.get_executor(), echo, HTTP::ServerLimits { 1024, 4096 } };
    Core::Address address;
    std::thread thread;

    ServerThread()
    {
        Core::Reason reason;
        address = server.listen({ "127.0.0.1", 0 }, reason).value();
        thread = std::thread([this] { context.run(); });
    }
    ~ServerThread()
    {
        context.stop();
        thread.join();
    }
    ServerThread(const ServerThread&) = delete;
    ServerThread& operator=(const ServerThread&) = delete;

    // Sends the bytes and returns everything that the server sends until it closes the connection.
    std::string exchange(const std::string& bytes) const
    {
        boost::asio::io_context clientContext;
        boost::asio::ip::tcp::socket socket(clientContext);
        boost::system::error_code error;
        socket.connect({ boost::asio::ip::make_address(address.ip), address.port }, error);
        boost::asio::write(socket, boost::asio::buffer(bytes), error);
        socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, error);
        std::string response;
        boost::asio::read(socket, boost::asio::dynamic_buffer(response), error);
        return response;
    }
};

// Malformed requests must not crash the server or be parsed as a second request hidden in the body of the first. A valid
// request must still be answered after them.
Test(GeneratedInput, requests)
{
    ServerThread server;
    std::mt19937_64 random(1);
    const std::string valid = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nX-A: b\r\n\r\nhello";
    const std::string chunked = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    for (int i = 0; i < mutationCount; ++i)
        server.exchange(TestSupport::mutateBytes(i % 2 == 0 ? valid : chunked, random));
    std::string response = server.exchange(valid);
    cr_assert(response.find("200") != std::string::npos && response.ends_with("hello"), "%s", response.c_str());
}

// Guards against request smuggling: a request with conflicting lengths must be rejected, since this server and the endpoint
// could interpret it differently.
Test(GeneratedInput, ambiguousLengthsAreRefused)
{
    ServerThread server;
    for (const char* lengths : { "Content-Length: 5\r\nContent-Length: 6\r\n", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "Content-Length: 5, 6\r\n",
             "Content-Length: -5\r\n", "Content-Length: 0x5\r\n", "Transfer-Encoding: xchunked\r\n" }) {
        std::string response = server.exchange("POST /a HTTP/1.1\r\nHost: h\r\n" + std::string(lengths) + "\r\nhello");
        cr_assert(response.empty() || response.starts_with("HTTP/1.1 4"), "%s: %s", lengths, response.c_str());
    }
}

// Guards against the status or a header of an earlier response, which a faulty server begins to send again, being taken for a part of
// the answer that follows it.
Test(GeneratedInput, answersAfterBrokenResponses)
{
    static constexpr int caseCount = 500;
    std::mt19937_64 random(6);
    const std::string answer = "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 6\r\n\r\nanswer";
    const std::vector<std::string> earlier { "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nRetry-After: 1\r\nContent-Length: 4\r\n\r\nfull",
        "HTTP/1.1 429 Too Many Requests\r\nId: other\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n",
        "HTTP/1.0 421 Misdirected Request\r\nNot-Run: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nNot-Run: 1\r\nContent-Length: 0\r\nServer: a\r\n\r\n" };
    boost::asio::io_context context;
    HTTP::Client client(context.get_executor());
    std::string bytes;
    TestSupport::RawServer server(context, [&bytes](boost::asio::ip::tcp::socket& socket) -> Core::Task<void> {
        if (co_await TestSupport::readRawRequest(socket))
            co_await TestSupport::writeRaw(socket, bytes);
    });
    HTTP::CallOptions options;
    options.isExpected = [](unsigned, const HTTP::Headers& headers) { return HTTP::findHeader(headers, "Id") == "own"; };
    int answered = 0;
    for (int i = 0; i < caseCount; ++i) {
        std::string piece = earlier[random() % earlier.size()];
        if (random() % 2 == 0)
            piece = TestSupport::mutateBytes(piece, random);
        bytes = piece.substr(0, random() % (piece.size() + 1)) + answer;
        Core::Reason reason;
        Core::Deadline deadline = Core::Deadline::after(std::chrono::seconds(5));
        std::optional<std::unique_ptr<HTTP::ResponseStream>> stream = TestSupport::runTask(context, client.call(server.address(), { "GET", "/", {}, {} }, deadline, options, reason));
        if (!stream)
            continue;
        ++answered;
        cr_assert_eq((*stream)->status(), 200, "case %d: %s", i, bytes.c_str());
        cr_assert_not(HTTP::findHeader((*stream)->headers(), "Not-Run"), "case %d: %s", i, bytes.c_str());
        cr_assert_eq(TestSupport::runTask(context, (*stream)->readAll(100, deadline, reason)).value_or(""), "answer", "case %d: %s", i, bytes.c_str());
    }
    cr_assert_gt(answered, 0);
}
