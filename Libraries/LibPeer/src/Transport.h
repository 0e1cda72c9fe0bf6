#pragma once

#include "LibPeer/Network.h"

namespace Peer {

// A WebSocket connection.
class Connection {
public:
    virtual ~Connection() = default;

    // Queues a binary message. Returns false if the connection is closing.
    virtual bool send(const std::string& message) = 0;

    // Address and port of the remote end, for log lines and errors.
    virtual std::string remoteName() const = 0;

    // Number of bytes queued but not yet written to the socket.
    virtual size_t queuedBytes() const = 0;

    // Closes the connection when a larger message begins to arrive.
    virtual void limitMessages(size_t maxBytes) = 0;

    // Starts the WebSocket closing handshake. The closed event is emitted when it ends.
    virtual void close(const std::string& reason) = 0;
};

// Event handlers of a connection, called in the order opened, received (any number of times), closed. The closed
// handler is called exactly once, even if the connection was never opened.
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

    // Starts connecting. Returns nullptr if the attempt cannot be started.
    virtual std::shared_ptr<Connection> connect(const Core::Address&, ConnectionEvents, Core::Reason&) = 0;

    virtual void stopListening() = 0;
};

std::shared_ptr<Transport> createPlainTransport(const boost::asio::any_io_executor&);

// Creates a transport with mutual TLS: both ends must present a certificate issued by the configured authority. Returns
// nullptr if a setting is missing or a file cannot be loaded; the reason then names the file.
std::shared_ptr<Transport> createTlsTransport(const boost::asio::any_io_executor&, const Settings&, Core::Reason&);

}
