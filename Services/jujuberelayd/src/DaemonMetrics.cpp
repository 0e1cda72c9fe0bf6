#include "DaemonMetrics.h"

using Core::SteadyClock;
using Telemetry::HistogramAxis;

static double secondsOf(std::chrono::nanoseconds duration)
{
    return std::chrono::duration<double>(duration).count();
}

// Awaits the task and records its duration, whether it succeeds or fails.
template <typename Result>
static Core::Task<Result> timed(Telemetry::Histogram& histogram, Core::Task<Result> task)
{
    SteadyClock::time_point start = SteadyClock::now();
    Result result = co_await std::move(task);
    histogram.observe(secondsOf(SteadyClock::now() - start));
    co_return result;
}

DaemonMetrics::DaemonMetrics()
    : m_firstEvent(m_registry.histogram("jujuberelay_first_event_seconds", "Time from a chat request to the first event of its answer.", HistogramAxis::latencySeconds()))
    , m_nextEvent(m_registry.histogram("jujuberelay_between_events_seconds", "Time between two reads of events of one answer.", HistogramAxis::latencySeconds()))
    , m_holdWait(m_registry.histogram("jujuberelay_hold_wait_seconds", "Time until a budget granted or refused a hold.", HistogramAxis::latencySeconds()))
    , m_queueWait(m_registry.histogram("jujuberelay_queue_wait_seconds", "Time until an endpoint with room was chosen or none was found.", HistogramAxis::latencySeconds()))
    , m_witnessOpen(m_registry.histogram("jujuberelay_witness_open_seconds", "Time to record an attempt at a witness or in the ledger.", HistogramAxis::latencySeconds()))
    , m_witnessClose(m_registry.histogram("jujuberelay_witness_close_seconds", "Time to record an attempt's usage at a witness or in the ledger.", HistogramAxis::latencySeconds()))
{
}

Caller::Observer DaemonMetrics::callerObserver(std::function<void(const Caller::Refusal&)> onRefusal)
{
    Caller::Observer observer;
    observer.onRefused = [this, onRefusal = std::move(onRefusal)](const Caller::Refusal& refusal) {
        m_registry.counter("jujuberelay_refusals_total", "Refused requests by code.", { { "code", refusal.code } }).add();
        onRefusal(refusal);
    };
    observer.onEnded = [this](Caller::RequestOutcome outcome) {
        m_registry.counter("jujuberelay_requests_total", "Ended requests by outcome.", { { "outcome", Caller::nameOf(outcome) } }).add();
    };
    observer.onFirstEvent = [this](std::chrono::nanoseconds duration) { m_firstEvent.observe(secondsOf(duration)); };
    observer.onNextEvent = [this](std::chrono::nanoseconds duration) { m_nextEvent.observe(secondsOf(duration)); };
    return observer;
}

void DaemonMetrics::countEndpointRequest(const Caller::Route& route, const Caller::RouteResult& result)
{
    const char* text = result.isEndpointFault ? "failed" : "not_sent_or_cancelled";
    Telemetry::Labels labels { { "endpoint", route.endpoint }, { "result", result.succeeded ? "succeeded" : text } };
    m_registry.counter("jujuberelay_endpoint_requests_total", "Requests chosen for an endpoint, by result.", labels).add();
}

Caller::Hooks DaemonMetrics::instrument(Caller::Hooks hooks)
{
    Caller::Hooks result = hooks;
    result.acquire = [this, acquire = hooks.acquire](Ledger::BudgetId budget, Ledger::Tokens tokens, Core::Deadline deadline, Core::Reason& reason) {
        return timed(m_holdWait, acquire(std::move(budget), tokens, deadline, reason));
    };
    result.chooseRoute = [this, choose = hooks.chooseRoute](Caller::RouteQuery query, Core::Deadline deadline, Core::Reason& reason) {
        return timed(m_queueWait, choose(std::move(query), deadline, reason));
    };
    result.openAttempt = [this, open = hooks.openAttempt](Witness::Record record, bool mayBeRetry, Core::Deadline deadline, Core::Reason& reason) {
        return timed(m_witnessOpen, open(std::move(record), mayBeRetry, deadline, reason));
    };
    result.closeAttempt = [this, close = hooks.closeAttempt](Ledger::Usage usage, Core::Deadline deadline, Core::Reason& reason) {
        return timed(m_witnessClose, close(std::move(usage), deadline, reason));
    };
    result.finishRoute = [this, done = hooks.finishRoute](const Caller::Route& route, Caller::RouteResult routeResult) {
        countEndpointRequest(route, routeResult);
        done(route, routeResult);
    };
    return result;
}

template <typename Result>
Core::Task<Result> DaemonMetrics::instrumentCall(const char* call, Core::Task<Result> task, Core::Reason& reason)
{
    SteadyClock::time_point start = SteadyClock::now();
    Result result = co_await std::move(task);
    const char* outcome = result ? "success" : Core::nameOf(reason.kind);
    m_registry.counter("jujuberelay_platform_calls_total", "Calls of the platform by kind and failure kind.", { { "call", call }, { "result", outcome } }).add();
    m_registry.histogram("jujuberelay_platform_call_seconds", "Time of a call of the platform; a watch waits for changes.", HistogramAxis::latencySeconds(), { { "call", call } })
        .observe(secondsOf(SteadyClock::now() - start));
    co_return result;
}

Platform::ObjectStore DaemonMetrics::instrument(const Platform::ObjectStore& store)
{
    Platform::ObjectStore result;
    result.get = [this, get = store.get](std::string name, Core::Deadline deadline, Core::Reason& reason) {
        return instrumentCall("get", get(std::move(name), deadline, reason), reason);
    };
    result.put = [this, put = store.put](std::string name, std::string value, Platform::Version expected, Core::Deadline deadline, Core::Reason& reason) {
        return instrumentCall("put", put(std::move(name), std::move(value), expected, deadline, reason), reason);
    };
    result.remove = [this, remove = store.remove](std::string name, Platform::Version expected, Core::Deadline deadline, Core::Reason& reason) {
        return instrumentCall("remove", remove(std::move(name), expected, deadline, reason), reason);
    };
    result.list = [this, list = store.list](std::string prefix, Core::Deadline deadline, Core::Reason& reason) {
        return instrumentCall("list", list(std::move(prefix), deadline, reason), reason);
    };
    result.watch = [this, watch = store.watch](std::string prefix, Platform::Version since, Core::Deadline deadline, Core::Reason& reason) {
        return instrumentCall("watch", watch(std::move(prefix), since, deadline, reason), reason);
    };
    return result;
}
