#pragma once

#include "LibCore/Address.h"
#include "LibCore/Async.h"
#include "LibEmulator/EngineFaults.h"
#include "LibEmulator/EngineSettings.h"
#include "LibHTTP/Server.h"
#include <memory>

namespace Emulator {

// A stand-in for a model engine, with the engine protocol of the design document's section 10.
// GET /control/counters returns the tokens that were really generated, POST /control/faults sets EngineFaults.
class EngineEmulator {
public:
    EngineEmulator(const boost::asio::any_io_executor&, EngineSettings);
    ~EngineEmulator();

    // Port 0 lets the kernel choose; the result holds the port in use.
    std::optional<Core::Address> listen(const Core::Address&, Core::Reason&);

    void setFaults(const EngineFaults&);

    // Times that the stream's generation was started.
    int64_t runsOf(const std::string& streamId) const;
    // Tokens that were really generated for the stream.
    int64_t generatedTokensOf(const std::string& streamId) const;

    // Closes all connections.
    void stop();

    struct State;

private:
    std::shared_ptr<State> m_state;
    HTTP::Server m_server;
};

}
