#pragma once

#include "LibCore/Address.h"
#include <cstdint>
#include <string>

namespace Relay {

// One registered endpoint.
struct Endpoint {
    // Unique for each start of most endpoints.
    std::string id;
    std::string service;
    Core::Address address;
    std::string failureDomain;
    // Requests that run at once; 0: unknown.
    int64_t slots { 0 };
    // Takes no new requests.
    bool isLeaving { false };
    // Unix time of the start in milliseconds. An endpoint that starts again under its id has a later one.
    int64_t startedAtMs { 0 };
    bool operator==(const Endpoint&) const = default;
};

}
