#pragma once

#include "LibCore/Address.h"
#include "LibEmulator/PlatformCounters.h"
#include "LibHTTP/Server.h"
#include "LibPlatform/HostList.h"
#include "LibPlatform/ObjectTable.h"
#include <memory>

namespace Emulator {

struct PlatformSettings {
    // Maximum calls per second, 0 for no limit. Each get, list, host list and watch request counts as one read.
    double writesPerSecond { 0 };
    double readsPerSecond { 0 };
    // Maximum number of concurrently waiting watches, 0 for no limit.
    size_t watchLimit { 0 };
    Platform::HistoryLimits history;
    std::vector<Platform::HostRecord> hosts;
    // Delay before a new host list becomes visible.
    std::chrono::milliseconds hostLag { 0 };
};

// An in-memory HTTP server for the platform's object API and host list, with fault switches:
// `POST /control/faults`, `POST /control/hosts` (a new host list, visible after the lag) and `GET /control/counters`.
class PlatformEmulator {
public:
    PlatformEmulator(const boost::asio::any_io_executor&, PlatformSettings);
    ~PlatformEmulator();

    // Starts serving. Returns the bound address.
    std::optional<Core::Address> listen(const Core::Address&, Core::Reason&);

    PlatformCounters counters() const;

    // Closes all connections and ends the waiting watches.
    void close();

    struct State;

private:
    std::shared_ptr<State> m_state;
    std::unique_ptr<HTTP::Server> m_server;
};

}
