#include "Events.h"
#include "RequestExecution.h"

// The part of RequestExecution that gathers and applies the evidence against prompt parts that crash engines.
namespace Relay {

using Core::SteadyClock;

std::optional<Refusal> RequestExecution::quarantineRefusal()
{
    std::optional<QuarantinedPart> found = m_handler.m_quarantine.findQuarantined(m_request.promptParts, SteadyClock::now());
    if (!found)
        return std::nullopt;
    m_handler.m_quarantine.recordRefusal();
    std::string message = "prompt part " + found->id + " crashed " + std::to_string(found->crashes.size()) + " engines:";
    for (const EngineCrash& crash : found->crashes)
        message += " " + crash.endpointId;
    return Refusal { 503, "prompt_quarantined", message, found->until.remaining().count() };
}

bool RequestExecution::mayCrashAnotherEngine()
{
    if (!m_hasCrashedEngine || m_handler.m_quarantine.mayRetry(m_request.promptParts, SteadyClock::now()))
        return false;
    m_lastFailure += "; not sent to another engine, since a part of the prompt may crash it";
    return true;
}

Core::Task<void> RequestExecution::examineBreak(const Endpoint& endpoint)
{
    if (!m_hasConnectionBroken || *m_isCallerGone || m_deadline.hasPassed() || lossReason() || !m_handler.m_selector.isExpectedToRun(endpoint))
        co_return;
    SteadyClock::time_point now = SteadyClock::now();
    bool wantsNoStatusRequest = m_handler.m_selector.isPaused(endpoint, now);
    if (wantsNoStatusRequest || !m_handler.m_quarantine.hasUnprovenParts(m_request.promptParts, now))
        co_return;
    bool hasEnded = co_await m_handler.m_crashCheck.check(endpoint) == EngineState::Ended;
    Core::logEvent(Events::engineChecked, "request=" + m_request.id + " endpoint=" + endpoint.id + " started_at_ms=" + std::to_string(endpoint.startedAtMs) + " has_ended=" + std::to_string(hasEnded) + " events=" + std::to_string(m_events));
    if (!hasEnded)
        co_return;
    m_hasCrashedEngine = true;
    m_handler.m_quarantine.recordCrash(m_request.promptParts, { endpoint.id, endpoint.startedAtMs }, SteadyClock::now());
}

}
