#pragma once

#include "LibCore/Deadline.h"
#include "LibCore/Reason.h"
#include "LibRelay/ObjectCache.h"
#include <chrono>
#include <optional>
#include <string>

// Messages with which a daemon shares its watches of the store with others.
namespace Relay {

// Requests the changes after a revision. The serving daemon waits up to the given time for one.
struct WatchRequest {
    std::string prefix;
    Platform::Version since { 0 };
    std::chrono::milliseconds wait { 0 };
    bool operator==(const WatchRequest&) const = default;
};

struct WatchReply {
    ObjectChanges changes;
    // Times since the store's last confirmation and since the arrival of the request, on the serving daemon's clock.
    std::chrono::milliseconds age { 0 };
    std::chrono::milliseconds held { 0 };
    bool operator==(const WatchReply&) const = default;
};

// Messages are encoded as CBOR. Decoding a malformed one fails with a reason of kind Invalid.
std::string encodeWatchRequest(const WatchRequest&);
std::optional<WatchRequest> decodeWatchRequest(const std::string& bytes, Core::Reason&);
std::string encodeWatchReply(const WatchReply&);
std::optional<WatchReply> decodeWatchReply(const std::string& bytes, Core::Reason&);

}
