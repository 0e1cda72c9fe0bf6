#pragma once

#include "LibCore/Deadline.h"
#include "LibRelay/Endpoint.h"
#include <map>
#include <optional>
#include <string>

namespace Relay {

// The limits on requests a second that endpoints have named in their answers. A limit holds for all daemons together, until an
// answer names none, and belongs to one process: it outlasts the registration, and a process with a later start time has none.
class EndpointLimits {
public:
    using TimePoint = Core::SteadyClock::time_point;

    // Records what the answer to a request says that was sent to the endpoint at sentAt. Returns whether the limit has changed.
    bool record(const Endpoint&, std::optional<double> requestsPerSecond, TimePoint sentAt, TimePoint now);

    // Requests a second; empty if the endpoint's process has no limit.
    std::optional<double> limitOf(const Endpoint&) const;

    // Called when the endpoint is no longer registered.
    void forget(const std::string& endpoint);

    size_t size() const { return m_limits.size(); }

private:
    struct Limit {
        // Start time of the process; 0: unknown.
        int64_t processStartMs { 0 };
        double requestsPerSecond { 0 };
        // When the last answer that names the limit arrived.
        TimePoint namedAt {};
    };

    // By endpoint id.
    std::map<std::string, Limit> m_limits;
};

}
