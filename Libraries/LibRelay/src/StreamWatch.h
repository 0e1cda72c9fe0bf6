#pragma once

#include "LibRelay/Endpoint.h"
#include "LibRelay/RequestHandler.h"

namespace Relay {

// One attempt of a stream that may be moved to another endpoint. Shared between the attempt and its watch.
struct WatchedStream {
    std::string requestId;
    Endpoint endpoint;
    std::shared_ptr<HTTP::Cancellation> cancellation;
    // When the request was sent or the last event arrived.
    Core::SteadyClock::time_point lastEventAt {};
    // Id of the last event that the caller has, from this attempt or an earlier one.
    uint64_t lastEvent { 0 };
    // Whether this attempt has delivered an event.
    bool hasEvents { false };
    // Whether the request could be sent to a better endpoint. Not called once the attempt is over.
    std::function<bool()> canMove;
    // Called with the head of each answer to a status request, also once the attempt is over.
    std::function<void(unsigned status, const HTTP::Headers&)> statusAnswered;
    bool isOver { false };
    // Why the watch cancelled the attempt.
    std::optional<std::string> lossReason;
};

// Cancels the attempt if it is silent and there is evidence that it will not continue. An endpoint that pauses is not asked for its status.
// One that is evacuated is only connected to. Runs until the attempt is over.
Core::Task<void> watchStream(
    std::shared_ptr<WatchedStream>, std::shared_ptr<HTTP::Client>, const WireCodec&, const HandlerSettings&, const EndpointSelector&);

}
