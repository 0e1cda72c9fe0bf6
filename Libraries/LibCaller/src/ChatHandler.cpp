#include "LibCaller/ChatHandler.h"

#include "AnswerAssembler.h"
#include "RequestSpan.h"
#include "SendRefusal.h"
#include <algorithm>
#include <set>

namespace Caller {

static constexpr int maxReconnects = 2;
static constexpr std::chrono::milliseconds cancelTimeout(2000);
static constexpr std::chrono::milliseconds initialResolutionDelay(100);
static constexpr std::chrono::milliseconds maxResolutionDelay(5000);
// An unknown stream may still be in a receive buffer of the endpoint, so the request counts as never run only after this
// many "not found" replies, which takes about 1.5 s.
static constexpr int notFoundRepliesForNotRun = 5;
// How long after the deadline of the record an unreachable endpoint is asked for the usage. After that, the whole hold is
// billed, since the actual usage is unknown and the budget must not be exceeded.
static constexpr std::chrono::minutes resolutionPeriod(10);
// How long the end of a response may be delayed beyond the deadline until its usage is stored.
static constexpr std::chrono::milliseconds persistUsageGrace(2000);

// State of one request until its bill is queued.
struct ChatHandler::Session {
    Session(const Hooks& hooks, const RequestIdentity& identity, ChatRequest request)
        : identity(identity)
        , request(std::move(request))
        , attempt(hooks, identity)
    {
    }

    RequestIdentity identity;
    ChatRequest request;
    Attempt attempt;
    Route route;
    std::unique_ptr<Endpoint::EngineStream> stream;
    // Bytes of events read so far, which are skipped after a reconnect.
    size_t bytesRead { 0 };
    int reconnects { 0 };
    bool wasSent { false };
    // Whether finishRoute must still be called.
    bool isRouteOpen { false };
    bool isCallerDisconnected { false };
    // Covers the time from the dispatch to the end of the stream.
    Telemetry::Span endpointSpan;
    Core::SteadyClock::time_point startedAt { Core::SteadyClock::now() };
    std::optional<Core::SteadyClock::time_point> lastEventAt;
    AnswerAssembler assembler;
};

ChatHandler::ChatHandler(const boost::asio::any_io_executor& executor, const Hooks& hooks, Endpoint::EngineClient& engines)
    : m_executor(executor)
    , m_hooks(hooks)
    , m_engines(engines)
{
}

Core::Task<void> ChatHandler::handle(const HTTP::Request& request, const RequestIdentity& identity, HTTP::ResponseWriter& writer)
{
    Refusal refusal;
    std::optional<ChatRequest> chat = parseChatRequest(request.body, *m_hooks.state(), refusal);
    if (!chat)
        co_return co_await sendRefusal(m_hooks.observer, refusal, writer);
    std::shared_ptr<Session> session = std::make_shared<Session>(m_hooks, identity, std::move(*chat));
    bool isRunning = co_await startAttempt(*session, refusal);
    // An earlier attempt with the same idempotency key may have run.
    if (!isRunning && refusal.ran == ExecutionStatus::NotRun && co_await session->attempt.joinExisting())
        isRunning = co_await resumeExisting(*session, refusal);
    if (!isRunning) {
        if (session->wasSent)
            scheduleResolution(session);
        co_return co_await sendRefusal(m_hooks.observer, refusal, writer);
    }
    if (co_await forwardEvents(*session, writer, refusal)) {
        co_await finishResponse(*session, writer);
        co_return;
    }
    scheduleResolution(session);
    co_await abortResponse(*session, writer, refusal);
}

Core::Task<bool> ChatHandler::startAttempt(Session& session, Refusal& refusal)
{
    if (!co_await session.attempt.acquireHold(session.request.tokenBound, refusal))
        co_return false;
    RouteQuery query;
    query.workspace = session.identity.workspace;
    query.model = session.request.model;
    query.priority = session.identity.priority;
    query.prefix = session.request.prefix;
    for (;;) {
        Core::Reason reason;
        Telemetry::Span span = startRequestSpan(m_hooks, session.identity, "queue", Telemetry::SpanKind::Internal);
        std::optional<Route> route = co_await m_hooks.chooseRoute(query, session.identity.deadline, reason);
        if (!route)
            span.setError(reason.text());
        span.end();
        if (!route) {
            // After a failed dispatch, the earlier refusal is more specific.
            if (query.excluded.empty())
                refusal = notRunRefusal(reason.kind == Core::FailureKind::Refused ? "no_endpoint" : "overloaded", 503, reason, 1000);
            session.attempt.releaseUnsent();
            co_return false;
        }
        if (!co_await session.attempt.open(*route, refusal)) {
            m_hooks.finishRoute(*route, { false, false });
            session.attempt.releaseUnsent();
            co_return false;
        }
        if (session.attempt.isJoined()) {
            m_hooks.finishRoute(*route, { false, false });
            co_return co_await resumeExisting(session, refusal);
        }
        bool mayRetry = false;
        if (co_await dispatch(session, *route, refusal, mayRetry))
            co_return true;
        if (!mayRetry) {
            if (!session.wasSent)
                session.attempt.releaseUnsent();
            co_return false;
        }
        query.excluded.insert(route->endpoint);
    }
}

Core::Task<bool> ChatHandler::dispatch(Session& session, const Route& route, Refusal& refusal, bool& mayRetry)
{
    Endpoint::Dispatch dispatch;
    dispatch.streamId = session.attempt.record().streamId;
    dispatch.workspace = session.identity.workspace;
    dispatch.priority = session.identity.priority;
    dispatch.body = session.request.engineBody;
    session.endpointSpan = startRequestSpan(m_hooks, session.identity, "endpoint", Telemetry::SpanKind::Client);
    session.endpointSpan.setAttribute("endpoint", route.endpoint);
    session.endpointSpan.setAttribute("stream.id", dispatch.streamId);
    dispatch.traceParent = traceParentOf(session.endpointSpan, session.identity);
    Core::Deadline deadline = session.identity.deadline;
    std::optional<Refusal> admissionRefusal;
    // Runs immediately before the request is written, so that a process that was paused does not send on stale intent.
    HTTP::SendGuard guard = [this, deadline, &admissionRefusal] {
        admissionRefusal = m_hooks.checkAdmission();
        return !admissionRefusal && !deadline.hasPassed();
    };
    Core::Reason reason;
    std::optional<std::unique_ptr<Endpoint::EngineStream>> stream
        = co_await m_engines.dispatch(route.address, std::move(dispatch), deadline, guard, reason);
    if (stream) {
        session.route = route;
        session.stream = std::move(*stream);
        session.wasSent = true;
        session.isRouteOpen = true;
        co_return true;
    }
    session.endpointSpan.setError(admissionRefusal ? admissionRefusal->message : reason.text());
    session.endpointSpan.end();
    if (admissionRefusal) {
        m_hooks.finishRoute(route, { false, false });
        refusal = *admissionRefusal;
        co_return false;
    }
    m_hooks.finishRoute(route, { false, true });
    if (reason.kind == Core::FailureKind::OutcomeUnknown || reason.kind == Core::FailureKind::TimedOut) {
        session.route = route;
        session.wasSent = true;
        refusal = unknownOutcomeRefusal("endpoint_failed", 502, reason, 1000);
        co_return false;
    }
    refusal = notRunRefusal("endpoint_failed", 502, reason, 1000);
    mayRetry = !deadline.hasPassed();
    co_return false;
}

Core::Task<bool> ChatHandler::resumeExisting(Session& session, Refusal& refusal)
{
    const Witness::Record& record = session.attempt.record();
    std::shared_ptr<const Intent::FleetState> state = m_hooks.state();
    std::map<std::string, Intent::Endpoint>::const_iterator endpoint = state->endpoints.find(record.endpoint);
    Core::Reason reason { Core::FailureKind::NotFound, "resume stream", record.endpoint, "the endpoint was withdrawn" };
    if (endpoint != state->endpoints.end()) {
        session.route = { record.endpoint, endpoint->second.address, 0 };
        session.endpointSpan = startRequestSpan(m_hooks, session.identity, "endpoint resume", Telemetry::SpanKind::Client);
        session.endpointSpan.setAttribute("endpoint", record.endpoint);
        session.endpointSpan.setAttribute("stream.id", record.streamId);
        std::optional<std::unique_ptr<Endpoint::EngineStream>> stream
            = co_await m_engines.resume(session.route.address, record.streamId, session.identity.deadline, reason);
        if (stream) {
            session.stream = std::move(*stream);
            co_return true;
        }
    }
    session.endpointSpan.setError(reason.text());
    session.endpointSpan.end();
    session.attempt.leave();
    if (record.usage)
        refusal = unknownOutcomeRefusal("already_ran", 409, reason);
    else
        refusal = unknownOutcomeRefusal("in_progress", 409, reason, 1000);
    co_return false;
}

void ChatHandler::reportEventLatency(Session& session) const
{
    Core::SteadyClock::time_point now = Core::SteadyClock::now();
    if (session.lastEventAt)
        m_hooks.observer.onNextEvent(now - *session.lastEventAt);
    else
        m_hooks.observer.onFirstEvent(now - session.startedAt);
    session.lastEventAt = now;
}

Core::Task<bool> ChatHandler::forwardEvents(Session& session, HTTP::ResponseWriter& writer, Refusal& refusal)
{
    Core::Reason reason;
    if (session.request.isStreaming) {
        HTTP::Headers headers { { "Content-Type", "text/event-stream" }, { "Cache-Control", "no-cache" } };
        session.isCallerDisconnected = !co_await writer.startStream(200, std::move(headers), reason);
    }
    for (;;) {
        std::optional<std::string> events = co_await readEvents(session, reason);
        if (!events) {
            refusal = unknownOutcomeRefusal("endpoint_failed", 502, reason, 1000);
            if (session.identity.deadline.hasPassed())
                refusal = unknownOutcomeRefusal("deadline", 504, reason);
            co_return false;
        }
        if (events->empty())
            co_return true;
        reportEventLatency(session);
        if (!session.request.isStreaming) {
            session.assembler.addEvents(*events);
            continue;
        }
        if (!session.isCallerDisconnected && !co_await writer.writeChunk(*events, reason))
            session.isCallerDisconnected = true;
        // With an idempotency key the caller may retry and join the stream, so it continues.
        if (session.isCallerDisconnected && !session.identity.hasIdempotencyKey) {
            refusal = unknownOutcomeRefusal("caller_gone", 499, reason);
            co_return false;
        }
    }
}

Core::Task<std::optional<std::string>> ChatHandler::readEvents(Session& session, Core::Reason& reason)
{
    size_t bytesToSkip = 0;
    for (;;) {
        std::optional<std::string> events = co_await session.stream->readEvents(session.identity.deadline, reason);
        if (!events) {
            if (!co_await reconnect(session, reason))
                co_return std::nullopt;
            bytesToSkip = session.bytesRead;
            continue;
        }
        size_t skipped = std::min(bytesToSkip, events->size());
        bytesToSkip -= skipped;
        if (skipped > 0 && skipped == events->size())
            continue;
        events->erase(0, skipped);
        session.bytesRead += events->size();
        co_return events;
    }
}

Core::Task<bool> ChatHandler::reconnect(Session& session, Core::Reason& reason)
{
    if (session.reconnects >= maxReconnects || session.identity.deadline.hasPassed())
        co_return false;
    ++session.reconnects;
    session.stream.reset();
    std::optional<std::unique_ptr<Endpoint::EngineStream>> stream
        = co_await m_engines.resume(session.route.address, session.attempt.record().streamId, session.identity.deadline, reason);
    if (!stream)
        co_return false;
    session.stream = std::move(*stream);
    co_return true;
}

Core::Task<void> ChatHandler::finishResponse(Session& session, HTTP::ResponseWriter& writer)
{
    Ledger::Tokens used = session.stream->usage()->total();
    std::string finalEvent = session.stream->finalEvent();
    session.endpointSpan.setAttribute("tokens", used);
    session.endpointSpan.end();
    session.stream.reset();
    if (session.isRouteOpen)
        m_hooks.finishRoute(session.route, { true, false });
    Core::Reason reason;
    Core::Deadline deadline(std::max(session.identity.deadline.at(), Core::Deadline::after(persistUsageGrace).at()));
    bool isDurable = co_await session.attempt.persistUsage(used, Ledger::UsageKind::Complete, deadline, reason);
    session.attempt.settle(used, Ledger::UsageKind::Complete);
    if (session.isCallerDisconnected) {
        m_hooks.observer.onEnded(RequestOutcome::CallerGone);
        co_return;
    }
    if (!isDurable) {
        co_await abortResponse(session, writer, unknownOutcomeRefusal("witness_unavailable", 503, reason, 1000));
        co_return;
    }
    if (session.request.isStreaming) {
        finalEvent += "data: [DONE]\n\n";
        bool isSent = co_await writer.writeChunk(finalEvent, reason) && co_await writer.finishStream(reason);
        m_hooks.observer.onEnded(isSent ? RequestOutcome::Answered : RequestOutcome::CallerGone);
        co_return;
    }
    std::optional<std::string> body = session.assembler.finish(finalEvent);
    if (!body) {
        reason = { Core::FailureKind::Invalid, "assemble answer", session.route.endpoint, "an event is not valid JSON" };
        co_return co_await sendRefusal(m_hooks.observer, unknownOutcomeRefusal("endpoint_failed", 502, reason), writer);
    }
    HTTP::Response response { 200, { { "Content-Type", "application/json" } }, std::move(*body) };
    bool isSent = co_await writer.send(std::move(response), reason);
    m_hooks.observer.onEnded(isSent ? RequestOutcome::Answered : RequestOutcome::CallerGone);
}

Core::Task<void> ChatHandler::abortResponse(Session& session, HTTP::ResponseWriter& writer, Refusal refusal)
{
    Core::Reason ignored;
    if (!writer.hasStarted())
        co_return co_await sendRefusal(m_hooks.observer, refusal, writer);
    m_hooks.observer.onEnded(session.isCallerDisconnected ? RequestOutcome::CallerGone : RequestOutcome::BrokenOff);
    if (!session.isCallerDisconnected) {
        m_hooks.observer.onRefused(refusal);
        std::string event = "event: error\ndata: " + refusal.json() + "\n\n";
        co_await writer.writeChunk(event, ignored);
    }
    // Without the final chunk, clients detect that the stream is incomplete.
    writer.abort();
}

void ChatHandler::scheduleResolution(std::shared_ptr<Session> session)
{
    session->stream.reset();
    session->endpointSpan.setError(session->isCallerDisconnected ? "cancelled after the caller disconnected" : "the stream ended before the answer was complete");
    session->endpointSpan.end();
    if (session->attempt.isJoined()) {
        session->attempt.leave();
        return;
    }
    if (session->isRouteOpen)
        m_hooks.finishRoute(session->route, { false, !session->isCallerDisconnected });
    ++m_unresolved;
    Core::spawn(m_executor, "resolve attempt", resolveUsage(std::move(session)));
}

// Cancels the stream at the endpoint, with retries until the endpoint reports the usage, and bills it. The hold is kept
// until then.
Core::Task<void> ChatHandler::resolveUsage(std::shared_ptr<Session> session)
{
    const Witness::Record& record = session->attempt.record();
    Core::Deadline resolutionDeadline(record.deadline.at() + resolutionPeriod);
    std::chrono::milliseconds delay = initialResolutionDelay;
    int notFoundReplies = 0;
    std::optional<Ledger::Tokens> used;
    while (!used) {
        Core::Reason reason;
        bool isJoined = session->identity.hasIdempotencyKey && !record.deadline.hasPassed()
            && co_await m_hooks.isJoined(record.attemptId, Core::Deadline::after(cancelTimeout));
        if (isJoined) {
            co_await Core::sleepUntil(Core::Deadline::after(maxResolutionDelay));
            continue;
        }
        std::optional<Endpoint::UsageCount> count
            = co_await m_engines.cancel(session->route.address, record.streamId, Core::Deadline::after(cancelTimeout), reason);
        if (count)
            used = count->total();
        else if (reason.kind == Core::FailureKind::NotFound && ++notFoundReplies == notFoundRepliesForNotRun)
            used = 0;
        else if (resolutionDeadline.hasPassed())
            used = record.tokensHeld;
        if (used)
            break;
        co_await Core::sleepUntil(Core::Deadline::after(delay));
        delay = std::min(delay * 2, maxResolutionDelay);
    }
    Core::Reason ignored;
    co_await session->attempt.persistUsage(*used, Ledger::UsageKind::BrokenOff, Core::Deadline::after(cancelTimeout), ignored);
    session->attempt.settle(*used, Ledger::UsageKind::BrokenOff);
    --m_unresolved;
}

}
