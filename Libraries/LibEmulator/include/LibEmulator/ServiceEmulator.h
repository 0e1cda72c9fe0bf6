#pragma once

#include "LibCore/Address.h"
#include "LibCore/Async.h"
#include "LibEmulator/ServiceFaults.h"
#include "LibHTTP/Server.h"
#include <memory>

namespace Emulator {

// A stand-in for a plain service. Each call runs, is counted by Idempotency-Key and path, and is answered with
// {"run", "path", "idempotency_key", "body_hash"}. Nothing is deduplicated, so that repeated calls become visible.
class ServiceEmulator {
public:
    explicit ServiceEmulator(const boost::asio::any_io_executor&);
    ~ServiceEmulator();

    // Port 0 lets the kernel choose; the result holds the port in use.
    std::optional<Core::Address> listen(const Core::Address&, Core::Reason&);

    void setFaults(const ServiceFaults&);

    // Times that a call with this key and path ran.
    int64_t runsOf(const std::string& idempotencyKey, const std::string& path) const;

    // Closes all connections.
    void stop();

    struct State;

private:
    std::shared_ptr<State> m_state;
    HTTP::Server m_server;
};

}
