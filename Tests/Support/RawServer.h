#pragma once

#include "LibCore/Address.h"
#include "LibCore/Async.h"
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <functional>
#include <optional>
#include <string>

// Servers that send arbitrary bytes, over real sockets.
namespace TestSupport {

inline constexpr boost::asio::as_tuple_t<boost::asio::use_awaitable_t<>> rawTuple(boost::asio::use_awaitable);

// Accepts connections and gives each to the script.
struct RawServer {
    using Script = std::function<Core::Task<void>(boost::asio::ip::tcp::socket&)>;

    RawServer(boost::asio::io_context& context, Script connectionScript)
        : acceptor(context, boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , script(std::move(connectionScript))
    {
        Core::spawn(context.get_executor(), "accept", run());
    }

    Core::Task<void> run()
    {
        for (;;) {
            auto [error, socket] = co_await acceptor.async_accept(rawTuple);
            if (error)
                co_return;
            ++connections;
            Core::spawn(acceptor.get_executor(), "serve", serve(std::move(socket)));
        }
    }

    Core::Task<void> serve(boost::asio::ip::tcp::socket socket) { co_await script(socket); }

    Core::Address address() const { return { "127.0.0.1", acceptor.local_endpoint().port() }; }

    boost::asio::ip::tcp::acceptor acceptor;
    Script script;
    int connections { 0 };
};

// Reads one request with its body, whose length must be given by Content-Length. Empty if the connection ended before.
inline Core::Task<std::optional<std::string>> readRawRequest(boost::asio::ip::tcp::socket& socket)
{
    static constexpr std::string_view lengthField = "\r\nContent-Length: ";
    std::string text;
    std::array<char, 4096> bytes {};
    size_t expected = std::string::npos;
    while (text.size() < expected) {
        auto [error, size] = co_await socket.async_read_some(boost::asio::buffer(bytes), rawTuple);
        if (error)
            co_return std::nullopt;
        text.append(bytes.data(), size);
        size_t end = text.find("\r\n\r\n");
        size_t field = text.find(lengthField);
        if (end != std::string::npos)
            expected = end + 4 + (field < end ? std::strtoul(text.c_str() + field + lengthField.size(), nullptr, 10) : 0);
    }
    co_return text;
}

inline Core::Task<bool> writeRaw(boost::asio::ip::tcp::socket& socket, std::string bytes)
{
    auto [error, size] = co_await boost::asio::async_write(socket, boost::asio::buffer(bytes), rawTuple);
    co_return !error;
}

inline void resetConnection(boost::asio::ip::tcp::socket& socket)
{
    socket.set_option(boost::asio::socket_base::linger(true, 0));
    socket.close();
}

}
