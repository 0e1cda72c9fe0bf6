#pragma once

#include "DelayedHostList.h"
#include "LibEmulator/PlatformEmulator.h"
#include "LibHTTP/Server.h"
#include "PlatformFaults.h"
#include "RateLimiter.h"

namespace Emulator {

// State shared by all requests in progress.
struct PlatformEmulator::State {
    State(const boost::asio::any_io_executor& executor, PlatformSettings settings)
        : settings(std::move(settings))
        , table(executor, this->settings.history)
        , hosts(this->settings.hosts, this->settings.hostLag)
        , writes(this->settings.writesPerSecond, Core::SteadyClock::now())
        , reads(this->settings.readsPerSecond, Core::SteadyClock::now())
    {
    }

    PlatformSettings settings;
    Platform::ObjectTable table;
    DelayedHostList hosts;
    RateLimiter writes;
    RateLimiter reads;
    PlatformFaults faults;
    PlatformCounters counters;
    bool isClosed { false };
};

// Serves the object API and host list under `/v1/`.
Core::Task<void> serveObjectApi(std::shared_ptr<PlatformEmulator::State>, HTTP::Request, HTTP::ResponseWriter&);

// Serves the fault switches and counters under `/control/`.
Core::Task<void> serveControl(std::shared_ptr<PlatformEmulator::State>, HTTP::Request, HTTP::ResponseWriter&);

// Builds a response with the body {"error": MESSAGE}.
HTTP::Response errorResponse(unsigned status, const std::string& message);

}
