#pragma once

#include "LibHTTP/Client.h"
#include "LibRelay/CallerRequest.h"
#include "LibRelay/EndpointSelector.h"
#include <map>
#include <memory>

namespace Relay {

enum class EngineState {
    // It answered a status request.
    Running,
    // Its address refuses connections.
    Ended,
    // It accepts connections at most: a server that resets requests or is silent may run or not.
    Unknown,
};

// Checks whether an engine has ended.
class CrashCheck {
public:
    CrashCheck(const boost::asio::any_io_executor&, std::shared_ptr<HTTP::Client>, const EndpointSelector&, WireCodec, std::chrono::milliseconds timeout);

    // Sends one status request at a time to an endpoint, or only connects to it if it is evacuated. Requests that break while it is in
    // progress or shortly after share its result, unless it began before the given time and did not find that the engine has ended.
    // Ends at the timeout at the latest.
    Core::Task<EngineState> check(Endpoint, Core::SteadyClock::time_point notBefore = {});

private:
    struct Check {
        explicit Check(const boost::asio::any_io_executor& executor)
            : finished(executor)
        {
        }
        Endpoint endpoint;
        Core::Signal finished;
        Core::SteadyClock::time_point startedAt { Core::SteadyClock::now() };
        bool isFinished { false };
        EngineState state { EngineState::Unknown };
        Core::Deadline validUntil { Core::Deadline::never() };
    };

    static Core::Task<void> run(std::shared_ptr<Check>, std::shared_ptr<HTTP::Client>, const EndpointSelector&, HTTP::Request, Core::Deadline);

    boost::asio::any_io_executor m_executor;
    std::shared_ptr<HTTP::Client> m_client;
    const EndpointSelector& m_selector;
    WireCodec m_codec;
    std::chrono::milliseconds m_timeout;
    std::map<std::string, std::shared_ptr<Check>> m_checks;
};

}
