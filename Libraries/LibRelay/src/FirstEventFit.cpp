#include "LibRelay/FirstEventFit.h"

#include <algorithm>

namespace Relay {

// Share of their weight that earlier observations keep with each new one.
static constexpr double retainedWeight = 0.98;
// Assumed before the first observations.
static constexpr double priorWeight = 2;
static constexpr double priorBaseMs = 20;
static constexpr double priorMsPerToken = 0.0125;
static constexpr double priorTokens = 10'000;
// Bounds of what an engine may take.
static constexpr double minMsPerToken = 0.001;
static constexpr double maxMsPerToken = 0.2;
static constexpr double minBaseMs = 1;
static constexpr double maxBaseMs = 2'000;
// An observation counts as at most this multiple of its prediction, plus the slack: what lies above is a fault or a queue.
static constexpr double maxRatio = 3;
static constexpr double maxRatioSlackMs = 50;

FirstEventFit::FirstEventFit()
{
    addWeighted(priorWeight, 0, priorBaseMs);
    addWeighted(priorWeight, priorTokens, priorBaseMs + priorTokens * priorMsPerToken);
    solve();
}

void FirstEventFit::addWeighted(double weight, double tokens, double milliseconds)
{
    m_weight += weight;
    m_tokens += weight * tokens;
    m_milliseconds += weight * milliseconds;
    m_squaredTokens += weight * tokens * tokens;
    m_product += weight * tokens * milliseconds;
}

void FirstEventFit::solve()
{
    double variance = m_weight * m_squaredTokens - m_tokens * m_tokens;
    // Observations of equal prompts say nothing about the reading speed.
    if (variance > m_weight * m_weight)
        m_msPerToken = std::clamp((m_weight * m_product - m_tokens * m_milliseconds) / variance, minMsPerToken, maxMsPerToken);
    m_baseMs = std::clamp((m_milliseconds - m_msPerToken * m_tokens) / m_weight, minBaseMs, maxBaseMs);
}

void FirstEventFit::add(Tokens tokens, double milliseconds)
{
    double bounded = std::clamp(milliseconds, 0.0, maxRatio * predictMs(tokens) + maxRatioSlackMs);
    for (double* sum : { &m_weight, &m_tokens, &m_milliseconds, &m_squaredTokens, &m_product })
        *sum *= retainedWeight;
    addWeighted(1, static_cast<double>(tokens), bounded);
    solve();
}

}
