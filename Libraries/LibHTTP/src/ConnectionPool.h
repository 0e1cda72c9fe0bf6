#pragma once

#include "LibHTTP/Client.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <map>
#include <sys/socket.h>

// The connections of a client and its pool of idle ones.
namespace HTTP {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

inline constexpr size_t maxIdleConnectionsPerAddress = 256;
// Bounds what is buffered of a response head, a chunk header or a trailer, which a faulty peer may send without end.
inline constexpr size_t maxReadBufferBytes = 128 * 1024;

struct Connection {
    explicit Connection(const asio::any_io_executor& executor)
        : stream(executor)
    {
    }
    beast::tcp_stream stream;
    beast::flat_buffer buffer { maxReadBufferBytes };
    Core::Deadline reusableUntil { Core::Deadline::never() };

    // False if the peer has closed the connection or sent unsolicited data.
    bool isReusable()
    {
        char byte = 0;
        ssize_t received = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) && buffer.size() == 0;
    }
};

struct Client::Pool {
    std::map<Core::Address, std::vector<std::unique_ptr<Connection>>> idleConnections;

    std::unique_ptr<Connection> acquire(const Core::Address& address)
    {
        std::vector<std::unique_ptr<Connection>>& connections = idleConnections[address];
        while (!connections.empty()) {
            std::unique_ptr<Connection> connection = std::move(connections.back());
            connections.pop_back();
            if (!connection->reusableUntil.hasPassed() && connection->isReusable())
                return connection;
        }
        return nullptr;
    }

    uint64_t connectionsOpened { 0 };

    void release(const Core::Address& address, std::unique_ptr<Connection> connection)
    {
        std::vector<std::unique_ptr<Connection>>& connections = idleConnections[address];
        if (connections.size() < maxIdleConnectionsPerAddress)
            connections.push_back(std::move(connection));
    }
};

}
