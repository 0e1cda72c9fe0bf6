#pragma once

#include "LibCore/Address.h"
#include "LibCore/Async.h"
#include "LibCore/Reason.h"
#include "LibHTTP/Client.h"
#include <optional>

namespace Endpoint {

// Forwards calls to plain services.
class ServiceClient {
public:
    explicit ServiceClient(HTTP::Client&);

    // Sends the call once, on a connection of its own, without the headers that concern only the caller's connection.
    // Any status is returned as the service's answer. OutcomeUnknown means that the call may have run; every other
    // failure kind means that it was never sent.
    Core::Task<std::optional<HTTP::Response>> call(
        Core::Address, HTTP::Request, Core::Deadline, HTTP::SendGuard, Core::Reason&);

private:
    HTTP::Client& m_client;
};

}
