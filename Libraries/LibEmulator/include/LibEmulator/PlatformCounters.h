#pragma once

#include <cstddef>
#include <cstdint>

namespace Emulator {

// Counters of the platform emulator since its start. The counters per call type exclude calls that were rate-limited or
// arrived during an outage. Byte counters include bodies only, without headers.
struct PlatformCounters {
    uint64_t get { 0 };
    uint64_t put { 0 };
    uint64_t remove { 0 };
    uint64_t list { 0 };
    uint64_t watch { 0 };
    uint64_t hosts { 0 };
    uint64_t conflicts { 0 };
    uint64_t rateLimited { 0 };
    uint64_t lostReplies { 0 };
    uint64_t duringOutage { 0 };
    uint64_t blocked { 0 };
    uint64_t bytesReceived { 0 };
    uint64_t bytesSent { 0 };
    size_t waitingWatches { 0 };
    bool operator==(const PlatformCounters&) const = default;
};

}
