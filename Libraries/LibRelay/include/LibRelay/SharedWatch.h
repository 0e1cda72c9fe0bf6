#pragma once

#include "LibCore/Deadline.h"
#include "LibCore/Reason.h"
#include "LibRelay/ObjectCache.h"
#include <chrono>
#include <optional>
#include <string>

// The messages by which daemons share one daemon's watches of the store.
namespace Relay {

// Asks a daemon for what changed after a revision; it waits for a change for at most the given time.
struct WatchRequest {
    std::string prefix;
    Platform::Version since { 0 };
    std::chrono::milliseconds wait { 0 };
    bool operator==(const WatchRequest&) const = default;
};

struct WatchReply {
    ObjectChanges changes;
    // Time from the store's last confirmation to the reply, and from the request to the reply, on the clock of the daemon
    // that serves it.
    std::chrono::milliseconds age { 0 };
    std::chrono::milliseconds held { 0 };
    bool operator==(const WatchReply&) const = default;
};

// CBOR; malformed messages give a reason of kind Invalid.
std::string encodeWatchRequest(const WatchRequest&);
std::optional<WatchRequest> decodeWatchRequest(const std::string& bytes, Core::Reason&);
std::string encodeWatchReply(const WatchReply&);
std::optional<WatchReply> decodeWatchReply(const std::string& bytes, Core::Reason&);

}
