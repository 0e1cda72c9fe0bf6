#pragma once

#include "LibCore/Deadline.h"
#include "LibRelay/Endpoint.h"
#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace Relay {

// The software versions of each service that may have begun a stream which is still taken up: those of the endpoints that this daemon
// has seen registered.
class SoftwareVersions {
public:
    // No stream is taken up longer than this after its version has left.
    static constexpr std::chrono::seconds retention { 120 };

    // Records that an endpoint is registered.
    void observe(const Endpoint&, Core::SteadyClock::time_point now);
    // The version of all streams of the service; empty if there may be several or none is known.
    std::optional<std::string> onlyVersion(const std::string& service, Core::SteadyClock::time_point now) const;
    // Services with streams of several versions.
    std::set<std::string> mixedServices(Core::SteadyClock::time_point now) const;

private:
    // When each version was last seen, by service.
    std::map<std::string, std::map<std::string, Core::SteadyClock::time_point>> m_lastSeen;
};

}
