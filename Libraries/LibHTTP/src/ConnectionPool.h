#pragma once

#include "LibHTTP/Client.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <linux/sockios.h>
#include <map>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <sys/ioctl.h>
#include <sys/socket.h>

// The connections of a client and its pool of idle ones.
namespace HTTP {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

inline constexpr size_t maxIdleConnectionsPerAddress = 256;
// Bounds what is buffered of a response head, a chunk header or a trailer, which a faulty peer may send without end.
inline constexpr size_t maxReadBufferBytes = 128 * 1024;

struct Connection;

// The established connections of a client by address, idle or in use.
struct ConnectionTable {
    std::map<Core::Address, std::set<Connection*>> connections;
};

struct Connection {
    Connection(const asio::any_io_executor& executor, std::shared_ptr<ConnectionTable> table, std::shared_ptr<BufferBudget> budget, Core::Address address)
        : stream(executor)
        , m_reservation(std::move(budget), address)
        , m_table(std::move(table))
        , m_address(std::move(address))
    {
    }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
    ~Connection()
    {
        auto it = m_table->connections.find(m_address);
        if (it != m_table->connections.end() && it->second.erase(this) > 0 && it->second.empty())
            m_table->connections.erase(it);
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer { maxReadBufferBytes };
    Core::Deadline reusableUntil { Core::Deadline::never() };

    void setEstablished()
    {
        m_establishedAt = Core::SteadyClock::now();
        m_table->connections[m_address].insert(this);
    }
    Core::SteadyClock::time_point establishedAt() const { return m_establishedAt; }

    // Accounts for the memory of the buffer; false if memory for responses is short.
    bool reserveBuffer() { return m_reservation.resize(buffer.capacity()); }

    // Frees the memory of an empty buffer, which an idle connection would keep.
    void freeBuffer()
    {
        if (buffer.size() == 0)
            buffer.shrink_to_fit();
        reserveBuffer();
    }

    // False if the peer has closed or reset the connection. Unlike a read, which takes the pending error of a socket even if it only
    // peeks, this leaves the reset to the reader of the response; without it, the next read reports an orderly end.
    bool isOpen()
    {
        if (!stream.socket().is_open())
            return false;
        pollfd descriptor { stream.socket().native_handle(), POLLRDHUP, 0 };
        return ::poll(&descriptor, 1, 0) == 0;
    }

    // False if the peer has closed the connection or sent unsolicited data. Only for idle connections: takes the socket's error.
    bool isReusable()
    {
        char byte = 0;
        ssize_t received = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) && buffer.size() == 0;
    }

    // Whether the peer's host has received all that was sent, and ended its side of the connection without a reset.
    bool hasEndedAfterReceivingAll()
    {
        int unacknowledgedBytes = 0;
        return tcpState() == TCP_CLOSE_WAIT && ::ioctl(stream.socket().native_handle(), SIOCOUTQ, &unacknowledgedBytes) == 0 && unacknowledgedBytes == 0;
    }

private:
    int tcpState()
    {
        ::tcp_info info {};
        socklen_t size = sizeof(info);
        return ::getsockopt(stream.socket().native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0 ? info.tcpi_state : TCP_CLOSE;
    }

    BufferBudget::Reservation m_reservation;
    std::shared_ptr<ConnectionTable> m_table;
    Core::Address m_address;
    Core::SteadyClock::time_point m_establishedAt {};
};

struct Client::Pool {
    explicit Pool(std::shared_ptr<BufferBudget> budget)
        : budget(std::move(budget))
    {
    }

    std::shared_ptr<BufferBudget> budget;
    std::shared_ptr<ConnectionTable> table { std::make_shared<ConnectionTable>() };
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
    std::function<void(const ConnectAttempt&)> connectAttemptEnded;

    void release(const Core::Address& address, std::unique_ptr<Connection> connection)
    {
        std::vector<std::unique_ptr<Connection>>& connections = idleConnections[address];
        connection->freeBuffer();
        if (connections.size() < maxIdleConnectionsPerAddress)
            connections.push_back(std::move(connection));
    }
};

}
