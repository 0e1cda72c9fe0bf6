#include "LibRelay/StreamSilence.h"

namespace Relay {

// Unanswered status requests that prove an endpoint dead without further evidence. A single one may be a lost packet.
static constexpr int conclusiveStatusFailures = 2;

static std::optional<std::string> findLossInStatus(const EngineStatus& status, const std::string& requestId, uint64_t receivedEvents)
{
    if (!status.eventsByRun)
        return std::nullopt;
    auto run = status.eventsByRun->find(requestId);
    // A request that waits or was preempted is queued and has no run.
    if (run == status.eventsByRun->end())
        return status.queued == 0 ? std::optional<std::string>("the engine reports neither a run nor a queue") : std::nullopt;
    if (run->second > receivedEvents)
        return "the engine has generated " + std::to_string(run->second) + " events, of which " + std::to_string(receivedEvents) + " arrived";
    return std::nullopt;
}

std::optional<std::string> findStreamLoss(const SilenceEvidence& evidence, const std::string& requestId, uint64_t receivedEvents)
{
    if (evidence.failedStatusRequests >= conclusiveStatusFailures)
        return "the engine does not answer status requests";
    if (evidence.failedStatusRequests > 0 && evidence.areOthersSilent)
        return "the engine does not answer a status request and all of its streams are silent";
    if (evidence.failedStatusRequests > 0 && !evidence.isRegistered)
        return "the engine does not answer a status request and is no longer registered";
    if (evidence.status)
        return findLossInStatus(*evidence.status, requestId, receivedEvents);
    return std::nullopt;
}

}
