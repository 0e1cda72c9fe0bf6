#include "BudgetReplay.h"

#include <algorithm>

namespace Measure {

std::chrono::milliseconds ReplaySettings::waitLimit() const
{
    std::chrono::milliseconds share(static_cast<int64_t>(static_cast<double>(requestDeadline.count()) * account.maximumWaitFraction));
    return std::min(share, account.maximumWait);
}

BudgetReplay::BudgetReplay(const BudgetTrace& trace, const ReplaySettings& settings)
    : m_trace(trace)
    , m_settings(settings)
    , m_isPending(trace.requests.size(), false)
{
    m_outcome.startedAt.resize(trace.requests.size());
}

ReplayOutcome BudgetReplay::run()
{
    scheduleTrace();
    prepare();
    m_events.runUntil(m_trace.end + std::chrono::minutes(3));
    return m_outcome;
}

void BudgetReplay::scheduleTrace()
{
    for (const TraceTopUp& item : m_trace.topUps) {
        m_events.scheduleAt(item.at, [this, tokens = item.tokens] {
            m_toppedUp += tokens;
            topUp(tokens);
        });
    }
    for (size_t request = 0; request < m_trace.requests.size(); ++request) {
        m_events.scheduleAt(m_trace.requests[request].arrival, [this, request] {
            m_isPending[request] = true;
            handleArrival(request);
            if (!m_isPending[request])
                return;
            m_events.scheduleAfter(m_settings.waitLimit(), [this, request] {
                if (m_isPending[request])
                    handleWaitTimeout(request);
            });
        });
    }
}

void BudgetReplay::serve(size_t request)
{
    m_isPending[request] = false;
    m_outcome.startedAt[request] = m_events.now();
    m_events.scheduleAfter(m_trace.requests[request].duration, [this, request] {
        m_used += m_trace.requests[request].used;
        m_outcome.overspend = std::max(m_outcome.overspend, m_used - m_toppedUp);
        handleCompletion(request);
    });
}

bool BudgetReplay::isPartitioned(uint32_t daemon) const
{
    return m_trace.partition && daemon < m_trace.partition->isolatedDaemons && m_events.now() >= m_trace.partition->from && m_events.now() < m_trace.partition->until;
}

std::chrono::microseconds BudgetReplay::delay(uint32_t daemon) const
{
    return m_trace.regions[daemon] == 0 ? m_settings.delayInRegion : m_settings.delayBetweenRegions;
}

}
