#pragma once

#include "LibHTTP/Client.h"
#include <map>
#include <set>
#include <string>

namespace Relay {

// Tells for each service from this host's connects whether it is cut off from the service's endpoints.
class EndpointReach {
public:
    using TimePoint = Core::SteadyClock::time_point;

    // Endpoints to which connects must have failed since the last one that succeeded, unless the service has fewer. One is enough while the
    // host is cut off from another service.
    static constexpr size_t minFailedEndpoints = 4;
    // A failure is evidence for this long. Longer than the interval of the connects that test whether the host is still cut off, with their
    // time limit.
    static constexpr std::chrono::milliseconds evidenceTime { 2'000 };

    // Records an attempt to connect to an endpoint of the service. `endpoints` is the number of its endpoints that take requests.
    void record(const std::string& service, size_t endpoints, const HTTP::ConnectAttempt&);

    bool isCutOff(const std::string& service, TimePoint now) const;
    // The services from which this host is cut off.
    std::set<std::string> cutOffServices(TimePoint now) const;

private:
    struct ServiceState {
        // When the connects failed that have not been followed by one that succeeded.
        std::map<Core::Address, TimePoint> failures;
        bool isCutOff { false };
    };

    std::map<std::string, ServiceState> m_services;
};

}
