#pragma once

#include <cstdint>
#include <string_view>

namespace Routing {

// Snapshot of one endpoint as seen by this daemon.
struct Candidate {
    // References storage of the EndpointTable; valid until the next call of EndpointTable::setEndpoints.
    std::string_view name;
    uint64_t nameHash { 0 };
    // Estimated number of running and queued requests.
    double load { 0 };
    // Number of concurrent requests, reduced during slow start after an ejection. 0 if the endpoint must not be chosen.
    double weight { 0 };

    bool operator==(const Candidate&) const = default;
};

}
