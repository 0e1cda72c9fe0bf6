#pragma once

#include "LibHTTP/Client.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <map>
#include <sys/socket.h>

// The client's connections and those of them that are idle.
namespace HTTP {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

inline constexpr size_t maxIdlePerAddress = 256;

struct Connection {
    explicit Connection(const asio::any_io_executor& executor)
        : stream(executor)
    {
    }
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    Core::Deadline reusableUntil { Core::Deadline::never() };

    // False when the peer has closed the connection or has sent bytes that nobody asked for.
    bool isIdle()
    {
        char byte = 0;
        ssize_t received = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) && buffer.size() == 0;
    }
};

struct Client::Pool {
    std::map<Core::Address, std::vector<std::unique_ptr<Connection>>> idle;

    std::unique_ptr<Connection> take(const Core::Address& address)
    {
        std::vector<std::unique_ptr<Connection>>& connections = idle[address];
        while (!connections.empty()) {
            std::unique_ptr<Connection> connection = std::move(connections.back());
            connections.pop_back();
            if (!connection->reusableUntil.hasPassed() && connection->isIdle())
                return connection;
        }
        return nullptr;
    }

    uint64_t opened { 0 };

    void put(const Core::Address& address, std::unique_ptr<Connection> connection)
    {
        std::vector<std::unique_ptr<Connection>>& connections = idle[address];
        if (connections.size() < maxIdlePerAddress)
            connections.push_back(std::move(connection));
    }
};

}
