#pragma once

#include "LibRelay/CallerRequest.h"

namespace Relay {

// What is known about an endpoint one of whose streams is silent.
struct SilenceEvidence {
    // The endpoint is registered in the store.
    bool isRegistered { true };
    // This daemon has other streams at the endpoint, and none of them has received data since this one fell silent.
    bool areOthersSilent { false };
    // Status requests in a row that the endpoint did not answer.
    int failedStatusRequests { 0 };
    std::optional<EngineStatus> status;
    bool operator==(const SilenceEvidence&) const = default;
};

// Returns the reason why the stream will not continue at its endpoint, or nothing if it may. Silence alone proves nothing: an
// engine pauses its streams for seconds while it reads long prompts, and a host that is slow to report still works.
std::optional<std::string> findStreamLoss(const SilenceEvidence&, const std::string& requestId, uint64_t receivedEvents);

}
