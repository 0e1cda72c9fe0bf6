#pragma once

#include "LibCore/Address.h"
#include "LibEmulator/PlatformCounters.h"
#include "LibHTTP/Server.h"
#include "LibPlatform/HostList.h"
#include "LibPlatform/ObjectTable.h"
#include <memory>

namespace Emulator {

struct PlatformSettings {
    // Calls per second, 0 for no limit. Each list, host list and watch request counts as one read.
    double writesPerSecond { 0 };
    double readsPerSecond { 0 };
    // Watches that may wait at the same time, 0 for no limit.
    size_t watchLimit { 0 };
    Platform::HistoryLimits history;
    std::vector<Platform::HostRecord> hosts;
    // Time until a new host list becomes visible.
    std::chrono::milliseconds hostLag { 0 };
};

// An HTTP server with the platform's object API and host list, kept in memory, and with fault switches:
// `POST /control/faults`, `POST /control/hosts` (a new host list, visible after the lag) and `GET /control/counters`.
class PlatformEmulator {
public:
    PlatformEmulator(const boost::asio::any_io_executor&, PlatformSettings);
    ~PlatformEmulator();

    // Starts serving; returns the address in use.
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
