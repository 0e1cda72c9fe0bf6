#pragma once

#include "LibCore/Address.h"
#include "LibCore/Async.h"
#include "LibHTTP/ClientCapacity.h"
#include "LibHTTP/Message.h"
#include "LibHTTP/ResponseWriter.h"
#include "LibHTTP/Traffic.h"
#include <functional>
#include <memory>

namespace HTTP {

struct ServerLimits {
    size_t maxBodyBytes { 8 * 1024 * 1024 };
    size_t maxHeaderBytes { 64 * 1024 };
    // Time limit for receiving a request after its first byte, and for how long a client may leave a connection idle before it
    // sends the next request. The server closes an idle connection some seconds later, so that a request that was sent in time
    // and is delayed on the way is served. 0 means unlimited.
    int64_t requestTimeoutMs { 0 };
    int64_t idleTimeoutMs { 0 };
};

// An HTTP/1.1 server with one task per connection. A request that cannot be parsed is answered with status 400, 413 or
// 431 and a JSON error.
class Server {
public:
    using Handler = std::function<Core::Task<void>(Request, ResponseWriter&)>;

    Server(const boost::asio::any_io_executor&, Handler, ServerLimits = {});
    ~Server();

    // Binds without SO_REUSEPORT and starts accepting connections. Port 0 selects an ephemeral port; the returned address
    // contains the bound port.
    std::optional<Core::Address> listen(const Core::Address&, Core::Reason&);

    // Stops accepting connections and closes idle ones. Requests that have arrived are served, and their connections closed.
    void stopAccepting();

    // Applies to requests that start after the call.
    void setLimits(ServerLimits);

    // Bounds the memory and the number of connections. If memory is short, requests that are being read are refused with 503, and
    // clients that don't read their responses are closed, the slowest for what they hold first. If connections are short, the one
    // that has been idle longest is closed, then the one whose request has been read longest. A request that is being handled is
    // not ended by it.
    void setCapacity(ClientCapacity);

    // Memory that clients hold, in bytes.
    size_t clientBytes() const;
    size_t connections() const;
    // Connections on which a request is being received.
    size_t readingConnections() const;
    // Requests that were refused since memory was short, responses that were ended since their client didn't read them, and
    // connections that were closed to make room for others, since construction.
    uint64_t memoryRefusals() const;
    uint64_t unreadResponses() const;
    uint64_t displacedConnections() const;

    // Closes each connection after its next response. New connections are still accepted.
    void closeAfterResponses();

    // Closes connections without a request in progress or in the receive buffer.
    void closeIdle();

    // Number of requests in progress.
    size_t activeRequests() const;

    const Traffic& traffic() const;

    // Number of connections that were closed by the idle timeout since construction.
    uint64_t idleTimeouts() const;

    // Stops accepting and closes all connections immediately.
    void closeAll();

    struct State;

private:
    void closeAcceptor();

    std::shared_ptr<State> m_state;
};

}
