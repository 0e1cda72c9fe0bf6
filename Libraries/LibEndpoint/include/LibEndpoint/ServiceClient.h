#pragma once

#include "LibCore/Address.h"
#include "LibCore/Async.h"
#include "LibCore/Reason.h"
#include "LibHTTP/Client.h"
#include <optional>

namespace Endpoint {

// Forwards HTTP requests to services other than model engines.
class ServiceClient {
public:
    explicit ServiceClient(HTTP::Client&);

    // Sends the request once on a new connection, without hop-by-hop headers. A response with any status is returned to
    // the caller. OutcomeUnknown means that the service may have executed the request; any other failure kind means that
    // the request was not sent.
    Core::Task<std::optional<HTTP::Response>> call(
        Core::Address, HTTP::Request, Core::Deadline, HTTP::SendGuard, Core::Reason&);

private:
    HTTP::Client& m_client;
};

}
