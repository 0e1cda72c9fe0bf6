#pragma once

#include <cstdint>

namespace HTTP {

// Bytes of messages that a server or client has exchanged with its peers since construction, without those of lower layers. Bytes
// count as sent once the system has taken them, which may be long before they have left the host.
struct Traffic {
    uint64_t receivedBytes { 0 };
    uint64_t sentBytes { 0 };
    bool operator==(const Traffic&) const = default;
};

}
