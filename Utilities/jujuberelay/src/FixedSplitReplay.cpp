#include "FixedSplitReplay.h"

namespace Measure {

FixedSplitReplay::FixedSplitReplay(const BudgetTrace& trace, const ReplaySettings& settings)
    : BudgetReplay(trace, settings)
    , m_daemons(trace.daemons)
{
}

void FixedSplitReplay::topUp(Tokens tokens)
{
    Tokens part = tokens / m_trace.daemons;
    Tokens rest = tokens % m_trace.daemons;
    for (uint32_t daemon = 0; daemon < m_trace.daemons; ++daemon) {
        Tokens share = part + (daemon < rest ? 1 : 0);
        if (isPartitioned(daemon))
            m_events.scheduleAt(m_trace.partition->until, [this, daemon, share] { credit(daemon, share); });
        else
            credit(daemon, share);
    }
}

void FixedSplitReplay::credit(uint32_t daemon, Tokens tokens)
{
    m_daemons[daemon].available += tokens;
    serveWaiting(m_daemons[daemon]);
}

void FixedSplitReplay::handleArrival(size_t request)
{
    Daemon& daemon = m_daemons[m_trace.requests[request].daemon];
    daemon.waiting.push_back(request);
    serveWaiting(daemon);
}

void FixedSplitReplay::serveWaiting(Daemon& daemon)
{
    std::erase_if(daemon.waiting, [this, &daemon](size_t request) {
        Tokens bound = m_trace.requests[request].bound;
        if (bound > daemon.available)
            return false;
        daemon.available -= bound;
        serve(request);
        return true;
    });
}

void FixedSplitReplay::handleCompletion(size_t request)
{
    const TraceRequest& ended = m_trace.requests[request];
    credit(ended.daemon, ended.bound - ended.used);
}

void FixedSplitReplay::handleWaitTimeout(size_t request)
{
    std::erase(m_daemons[m_trace.requests[request].daemon].waiting, request);
    refuse(request);
}

}
