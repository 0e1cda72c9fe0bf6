#pragma once

#include "LaggingHosts.h"
#include "LibEmulator/PlatformEmulator.h"
#include "LibHTTP/Server.h"
#include "PlatformFaults.h"
#include "RateLimiter.h"

namespace Emulator {

// Shared by the requests in progress.
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
    LaggingHosts hosts;
    RateLimiter writes;
    RateLimiter reads;
    PlatformFaults faults;
    PlatformCounters counters;
    bool isClosed { false };
};

// Answers a request below `/v1/`.
Core::Task<void> serveObjectApi(std::shared_ptr<PlatformEmulator::State>, HTTP::Request, HTTP::ResponseWriter&);

// Answers a request below `/control/`.
Core::Task<void> serveControl(std::shared_ptr<PlatformEmulator::State>, HTTP::Request, HTTP::ResponseWriter&);

// An answer with a JSON error.
HTTP::Response errorResponse(unsigned status, const std::string& message);

}
