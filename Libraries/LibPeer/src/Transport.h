#pragma once

#include "LibPeer/Network.h"

namespace Peer {

// One WebSocket connection.
class Connection {
public:
    virtual ~Connection() = default;

    // Queues one binary message; false when the connection is closing.
    virtual bool send(const std::string& message) = 0;

    // Address and port of the other end, for messages.
    virtual std::string remoteName() const = 0;

    // Bytes that are queued and not yet written.
    virtual size_t queuedBytes() const = 0;

    // Starts the closing handshake; the closed event follows.
    virtual void close(const std::string& reason) = 0;
};

// Called in the order opened, received (any number), closed. Exactly one closed event ends every connection, also one
// that was never opened.
struct ConnectionEvents {
    std::function<void()> opened;
    std::function<void(const std::string& message)> received;
    std::function<void(const std::string& reason)> closed;
};

// Opens and accepts WebSocket connections.
class Transport {
public:
    using AcceptHook = std::function<ConnectionEvents(std::shared_ptr<Connection>)>;

    virtual ~Transport() = default;

    virtual std::optional<Core::Address> listen(const Core::Address&, AcceptHook, Core::Reason&) = 0;

    // Starts to connect. Nullptr when that is not possible.
    virtual std::shared_ptr<Connection> connect(const Core::Address&, ConnectionEvents, Core::Reason&) = 0;

    virtual void stopListening() = 0;
};

std::shared_ptr<Transport> createPlainTransport(const boost::asio::any_io_executor&);

// Encrypts links and requires each end to show a certificate of the authority. Nullptr, with the file in the reason,
// when a setting is missing or a file cannot be used.
std::shared_ptr<Transport> createTlsTransport(const boost::asio::any_io_executor&, const Settings&, Core::Reason&);

}
