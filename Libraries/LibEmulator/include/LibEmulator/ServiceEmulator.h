#pragma once

#include "LibCore/Address.h"
#include "LibCore/Async.h"
#include "LibEmulator/ServiceFaults.h"
#include "LibHTTP/Server.h"
#include <memory>

namespace Emulator {

// Emulates a plain HTTP service. Executes every call, counts executions by Idempotency-Key and path, and responds with
// {"run", "path", "idempotency_key", "body_hash"}. Calls are not deduplicated, so that duplicates can be detected.
class ServiceEmulator {
public:
    explicit ServiceEmulator(const boost::asio::any_io_executor&);
    ~ServiceEmulator();

    // Port 0 selects a free port. Returns the bound address.
    std::optional<Core::Address> listen(const Core::Address&, Core::Reason&);

    void setFaults(const ServiceFaults&);

    // Number of executed calls with this key and path.
    int64_t runsOf(const std::string& idempotencyKey, const std::string& path) const;

    // Closes all connections.
    void stop();

    struct State;

private:
    std::shared_ptr<State> m_state;
    HTTP::Server m_server;
};

}
