#include "LibHTTP/Client.h"
#include "LibHTTP/Server.h"
#include "Mutation.h"
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <thread>

static constexpr int cases = 300;

static Core::Task<void> echo(HTTP::Request request, HTTP::ResponseWriter& writer)
{
    Core::Reason reason;
    co_await writer.send({ 200, {}, request.body }, reason);
}

// A server on a thread of its own, so that the test can write to it with blocking calls.
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

    // What the server sends until it closes the connection.
    std::string exchange(const std::string& bytes) const
    {
        boost::asio::io_context own;
        boost::asio::ip::tcp::socket socket(own);
        boost::system::error_code error;
        socket.connect({ boost::asio::ip::make_address(address.ip), address.port }, error);
        boost::asio::write(socket, boost::asio::buffer(bytes), error);
        socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, error);
        std::string answer;
        boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
        return answer;
    }
};

// Guards against bytes of a caller that end the process, or that hide a second request inside the first one's body.
Test(GeneratedInput, requests)
{
    ServerThread server;
    std::mt19937_64 random(1);
    const std::string valid = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nX-A: b\r\n\r\nhello";
    const std::string chunked = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    for (int i = 0; i < cases; ++i)
        server.exchange(TestSupport::mutateBytes(i % 2 == 0 ? valid : chunked, random));
    std::string answer = server.exchange(valid);
    cr_assert(answer.find("200") != std::string::npos && answer.ends_with("hello"), "%s", answer.c_str());
}

// Guards against a request whose length is stated twice, or in two ways, being read in one way here and in another by the
// endpoint.
Test(GeneratedInput, ambiguousLengthsAreRefused)
{
    ServerThread server;
    for (const char* lengths : { "Content-Length: 5\r\nContent-Length: 6\r\n", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "Content-Length: 5, 6\r\n",
             "Content-Length: -5\r\n", "Content-Length: 0x5\r\n", "Transfer-Encoding: xchunked\r\n" }) {
        std::string answer = server.exchange("POST /a HTTP/1.1\r\nHost: h\r\n" + std::string(lengths) + "\r\nhello");
        cr_assert(answer.empty() || answer.starts_with("HTTP/1.1 4"), "%s: %s", lengths, answer.c_str());
    }
}
