#pragma once

#include <cstddef>
#include <limits>
#include <string>

namespace HTTP {

// What the clients of one server may take of the process.
struct ClientCapacity {
    // Bytes that are held of requests and of responses that have not been sent.
    size_t maxBytes { std::numeric_limits<size_t>::max() };
    size_t maxConnections { std::numeric_limits<size_t>::max() };
    // Retry-After of refusals, in seconds.
    std::string retryAfter { "1" };

    bool operator==(const ClientCapacity&) const = default;
};

}
