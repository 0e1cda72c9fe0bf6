#include "CentralCounterReplay.h"

namespace Measure {

void CentralCounterReplay::topUp(Tokens tokens)
{
    m_available += tokens;
    serveWaiting();
}

void CentralCounterReplay::handleArrival(size_t request)
{
    send({ request, false });
}

void CentralCounterReplay::handleCompletion(size_t request)
{
    send({ request, true });
}

void CentralCounterReplay::send(Write write)
{
    uint32_t daemon = m_trace.requests[write.request].daemon;
    // A partitioned daemon retries when the partition ends.
    if (isPartitioned(daemon))
        m_events.scheduleAt(m_trace.partition->until, [this, write] { enqueue(write); });
    else
        m_events.scheduleAfter(delay(daemon), [this, write] { enqueue(write); });
}

void CentralCounterReplay::enqueue(Write write)
{
    m_writes.push_back(write);
    startWrite();
}

void CentralCounterReplay::startWrite()
{
    if (m_isWriting || m_writes.empty())
        return;
    m_isWriting = true;
    Write write = m_writes.front();
    m_writes.pop_front();
    // No write is sent for a request that was refused while queued.
    bool isSent = write.isEnd || isWaiting(write.request);
    m_events.scheduleAfter(isSent ? m_settings.platformWrite : std::chrono::microseconds(0), [this, write] {
        m_isWriting = false;
        apply(write);
        startWrite();
    });
}

void CentralCounterReplay::apply(const Write& write)
{
    const TraceRequest& request = m_trace.requests[write.request];
    if (write.isEnd)
        m_available += request.bound - request.used;
    else
        m_waiting.push_back(write.request);
    serveWaiting();
}

void CentralCounterReplay::serveWaiting()
{
    std::erase_if(m_waiting, [this](size_t request) {
        const TraceRequest& waiting = m_trace.requests[request];
        if (!isWaiting(request))
            return true;
        if (waiting.bound > m_available || isPartitioned(waiting.daemon))
            return false;
        m_available -= waiting.bound;
        serve(request);
        return true;
    });
}

}
