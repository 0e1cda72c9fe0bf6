#include "Events.h"
#include "LibRelay/Urgency.h"
#include "RequestExecution.h"
#include <algorithm>
#include <utility>

// The part of RequestExecution that concerns the urgency of requests to engines and the prediction of the engines' load.
namespace Relay {

int RequestExecution::urgency() const
{
    int priority = effectivePriority(m_route, m_workspace ? &*m_workspace : nullptr);
    return urgencyOf({ priority, m_route.objectiveMs, elapsedMs(), m_lastEvent || m_request.lastEvent });
}

EnginePrompt RequestExecution::enginePrompt() const
{
    EnginePrompt prompt;
    prompt.sharedKey = affinity();
    prompt.targetMs = static_cast<double>(m_route.objectiveMs);
    Tokens partTokens = 0;
    for (size_t i = 0; i < m_request.promptParts.size(); ++i) {
        partTokens = Core::saturatingAdd(partTokens, m_request.promptParts[i].tokens);
        // The last part is specific to the caller's session.
        if (i + 2 == m_request.promptParts.size())
            prompt.sharedTokens = partTokens;
    }
    prompt.tokens = m_request.tokens ? m_request.tokens->prompt : partTokens;
    prompt.sharedTokens = std::clamp<Tokens>(prompt.sharedTokens, 0, std::max<Tokens>(0, prompt.tokens));
    return prompt;
}

// Prompts that may crash engines keep to the first one in their order, so that they end fewer engines before their quarantine.
std::optional<EnginePrompt> RequestExecution::predictedPrompt() const
{
    if (!m_isEngine || !m_handler.m_selector.engineLoad() || m_handler.m_quarantine.isSuspected(m_request.promptParts, Core::SteadyClock::now()))
        return std::nullopt;
    return enginePrompt();
}

void RequestExecution::startEngineRun(const Endpoint& endpoint)
{
    endEngineRun();
    EngineLoadModel* load = m_handler.m_selector.engineLoad();
    if (!load || !m_isEngine)
        return;
    load->setDaemons(m_handler.m_budgets.daemons());
    m_engineRun = load->recordSent(endpoint, enginePrompt(), m_route.isStream, Core::SteadyClock::now());
}

void RequestExecution::recordEngineEvents(const Endpoint& endpoint, size_t events)
{
    if (!m_engineRun || events == 0)
        return;
    EngineLoadModel& load = *m_handler.m_selector.engineLoad();
    Core::SteadyClock::time_point now = Core::SteadyClock::now();
    load.recordEvents(*m_engineRun, events, now);
    if (std::exchange(m_isFirstEventMeasured, true))
        return;
    int priority = effectivePriority(m_route, m_workspace ? &*m_workspace : nullptr);
    m_handler.m_metrics.histogram("jujuberelay_relay_first_event_seconds", "Time from a request to the first event of an engine's answer, by the request's priority.", Telemetry::HistogramAxis::latencySeconds(), { { "priority", std::to_string(std::clamp(priority, mostUrgent, leastUrgent)) } })
        .observe(std::chrono::duration<double>(now - m_startedAt).count());
    if (std::optional<double> lateMs = load.takeLateNotice(endpoint.id, now))
        Core::logEvent(Events::engineLate, "endpoint=" + endpoint.id + " service=" + endpoint.service + " late_ms=" + std::to_string(static_cast<int64_t>(*lateMs)) + " request=" + m_request.id);
}

void RequestExecution::endEngineRun()
{
    if (m_engineRun)
        m_handler.m_selector.engineLoad()->recordEnd(*std::exchange(m_engineRun, std::nullopt), Core::SteadyClock::now());
}

}
