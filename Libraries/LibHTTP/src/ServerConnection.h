#pragma once

#include "ClientTable.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <functional>
#include <linux/sockios.h>
#include <optional>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace HTTP {

// Bounds what is buffered of a chunk header or a trailer. The buffer is larger if heads may be.
inline constexpr size_t maxRequestBufferBytes = size_t { 128 } * 1024;

// A client's connection to the server.
struct ServerConnection {
    ServerConnection(boost::asio::ip::tcp::socket socket, ClientTable& clients)
        : stream(std::move(socket))
        , client(clients, { [this](ClientTable::Drop how) { drop(how); }, [this] { return !hasNextRequest(); }, [this] { return unsentBytes(); } }, Core::SteadyClock::now())
    {
    }
    boost::beast::tcp_stream stream;
    ClientTable::Client client;
    boost::beast::flat_buffer buffer { maxRequestBufferBytes };
    bool isBusy { false };
    // When the first byte of the request that is being read or handled was read.
    Core::SteadyClock::time_point requestStartedAt {};
    // Set while a request is handled; see ResponseWriter::onClientDisconnect.
    std::function<void()> onDisconnect {};
    // Incremented for each wait, so that the wait of a previous request on the connection is ignored.
    uint64_t disconnectWaits { 0 };
    std::optional<ClientTable::Drop> dropped {};

    // Ends the read or write in progress. The connection's task does the rest.
    void drop(ClientTable::Drop how)
    {
        dropped = how;
        if (how == ClientTable::Drop::Close)
            close();
        else
            stream.cancel();
    }

    void close()
    {
        boost::beast::error_code ignored;
        stream.socket().close(ignored);
    }

    // Bytes written that the client's system has not acknowledged.
    size_t unsentBytes()
    {
        int bytes = 0;
        return ::ioctl(stream.socket().native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0 ? static_cast<size_t>(bytes) : 0;
    }

    // Whether data has arrived that has not been read into the buffer.
    bool hasUnreadData()
    {
        char byte = 0;
        return ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
    }

    // Whether the next request, or a part of it, has arrived.
    bool hasNextRequest() { return buffer.size() > 0 || hasUnreadData(); }

    // Whether the client has closed the connection. A closed connection reads as 0 bytes or an error.
    bool isDisconnected()
    {
        char byte = 0;
        ssize_t received = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }
};

}
