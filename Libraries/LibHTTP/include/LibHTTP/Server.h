#pragma once

#include "LibCore/Address.h"
#include "LibCore/Async.h"
#include "LibHTTP/Message.h"
#include "LibHTTP/ResponseWriter.h"
#include <functional>
#include <memory>

namespace HTTP {

struct ServerLimits {
    size_t maxBodyBytes { 8 * 1024 * 1024 };
    size_t maxHeaderBytes { 64 * 1024 };
    // Time for a request to arrive whole once its first byte has, and the time that a connection may stay idle before
    // it is closed. 0: unlimited.
    int64_t requestTimeoutMs { 0 };
    int64_t idleTimeoutMs { 0 };
};

// An HTTP/1.1 server with one task for each connection. A request that cannot be parsed is answered with 400,
// 413 or 431 and a JSON error.
class Server {
public:
    using Handler = std::function<Core::Task<void>(Request, ResponseWriter&)>;

    Server(const boost::asio::any_io_executor&, Handler, ServerLimits = {});
    ~Server();

    // Binds exclusively and starts accepting. Port 0 lets the kernel choose; the result holds the port in use.
    std::optional<Core::Address> listen(const Core::Address&, Core::Reason&);

    // Accepts no further connections and closes idle ones; requests in progress go on.
    void stopAccepting();

    // Limits for requests that begin from now on.
    void setLimits(ServerLimits);

    // Closes each connection after its next response, and goes on accepting.
    void closeAfterResponses();

    // Closes connections that wait for a request.
    void closeIdle();

    // Number of requests whose response is not complete.
    size_t activeRequests() const;

    // Closes all connections at once.
    void closeAll();

    struct State;

private:
    std::shared_ptr<State> m_state;
};

}
