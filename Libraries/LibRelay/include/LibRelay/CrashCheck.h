#pragma once

#include "LibHTTP/Client.h"
#include "LibRelay/CallerRequest.h"
#include "LibRelay/Endpoint.h"
#include <map>
#include <memory>

namespace Relay {

// Checks whether an engine whose connection broke has ended: its address refuses connections. A server that resets some
// requests, drops idle connections or is silent is not counted as ended.
class CrashCheck {
public:
    CrashCheck(const boost::asio::any_io_executor&, std::shared_ptr<HTTP::Client>, WireCodec, std::chrono::milliseconds timeout);

    // Sends one status request at a time to an endpoint; requests that break while it is in progress or shortly after share its
    // result. Ends at the timeout at the latest.
    Core::Task<bool> hasEnded(Endpoint);

private:
    struct Check {
        explicit Check(const boost::asio::any_io_executor& executor)
            : finished(executor)
        {
        }
        Endpoint endpoint;
        Core::Signal finished;
        bool isFinished { false };
        bool hasEnded { false };
        Core::Deadline validUntil { Core::Deadline::never() };
    };

    static Core::Task<void> run(std::shared_ptr<Check>, std::shared_ptr<HTTP::Client>, HTTP::Request, Core::Deadline);

    boost::asio::any_io_executor m_executor;
    std::shared_ptr<HTTP::Client> m_client;
    WireCodec m_codec;
    std::chrono::milliseconds m_timeout;
    std::map<std::string, std::shared_ptr<Check>> m_checks;
};

}
