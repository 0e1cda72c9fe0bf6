#include "ReplayEndpoint.h"

namespace Commands {

ReplayEndpoint::ReplayEndpoint(Measure::EventQueue& events, const ReplaySettings& settings)
    : m_events(events)
    , m_settings(settings)
{
}

void ReplayEndpoint::submit(ReplayRequest& request, CompletionHandler onCompletion)
{
    m_queue.push_back({ &request, std::move(onCompletion) });
    startQueued();
}

void ReplayEndpoint::startQueued()
{
    while (m_running < m_settings.slots && !m_queue.empty()) {
        Queued next = std::move(m_queue.front());
        m_queue.pop_front();
        if (m_events.now() >= next.request->deadline.at()) {
            next.request->isShed = true;
            next.onCompletion();
            continue;
        }
        start(std::move(next));
    }
}

void ReplayEndpoint::start(Queued next)
{
    ++m_running;
    ReplayRequest& request = *next.request;
    request.isPrefixHit = isCached(request.prefix);
    int64_t newTokens = request.uniqueTokens + (request.isPrefixHit ? 0 : m_settings.prefixTokens);
    Measure::Time prefilled = m_events.now() + std::chrono::microseconds(newTokens * m_settings.prefillMsPer1000Tokens);
    std::chrono::milliseconds timePerToken(m_settings.timePerTokenMs);
    request.firstTokenAt = prefilled + timePerToken;
    m_events.scheduleAt(prefilled, [this, prefix = request.prefix] { cache(prefix); });
    m_events.scheduleAt(prefilled + timePerToken * request.answerTokens, [this, onCompletion = std::move(next.onCompletion)] {
        --m_running;
        onCompletion();
        startQueued();
    });
}

bool ReplayEndpoint::isCached(uint64_t prefix)
{
    std::unordered_map<uint64_t, std::list<uint64_t>::iterator>::iterator found = m_cached.find(prefix);
    if (found == m_cached.end())
        return false;
    m_cacheOrder.splice(m_cacheOrder.begin(), m_cacheOrder, found->second);
    return true;
}

void ReplayEndpoint::cache(uint64_t prefix)
{
    if (isCached(prefix))
        return;
    m_cacheOrder.push_front(prefix);
    m_cached[prefix] = m_cacheOrder.begin();
    while (static_cast<int64_t>(m_cached.size()) * m_settings.prefixTokens > m_settings.cacheTokens) {
        m_cached.erase(m_cacheOrder.back());
        m_cacheOrder.pop_back();
    }
}

}
