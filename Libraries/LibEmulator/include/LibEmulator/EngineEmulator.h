#pragma once

#include "LibCore/Address.h"
#include "LibCore/Async.h"
#include "LibEmulator/EngineFaults.h"
#include "LibEmulator/EngineSettings.h"
#include "LibHTTP/Server.h"
#include <memory>

namespace Emulator {

// Emulates a model engine with the engine protocol of section 10 of the design document.
// GET /control/counters returns the number of generated tokens; POST /control/faults sets EngineFaults.
class EngineEmulator {
public:
    EngineEmulator(const boost::asio::any_io_executor&, EngineSettings);
    ~EngineEmulator();

    // Port 0 selects a free port. Returns the bound address.
    std::optional<Core::Address> listen(const Core::Address&, Core::Reason&);

    void setFaults(const EngineFaults&);

    // Number of times that generation of the stream was started.
    int64_t runsOf(const std::string& streamId) const;
    // Number of tokens generated for the stream.
    int64_t generatedTokensOf(const std::string& streamId) const;

    // Closes all connections.
    void stop();

    struct State;

private:
    std::shared_ptr<State> m_state;
    HTTP::Server m_server;
};

}
