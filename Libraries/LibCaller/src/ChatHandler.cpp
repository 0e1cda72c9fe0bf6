#include "LibCaller/ChatHandler.h"

#include "AnswerAssembler.h"
#include "RequestSpan.h"
#include "SendRefusal.h"
#include <algorithm>
#include <set>

namespace Caller {

static constexpr int maxReconnects = 2;
static constexpr std::chrono::milliseconds cancelTimeout(2000);
static constexpr std::chrono::milliseconds firstResolveDelay(100);
static constexpr std::chrono::milliseconds maxResolveDelay(5000);
// An endpoint that does not know a stream may still have its request in a receive buffer; only repeated answers over
// about 1.5 s count as proof that it never ran.
static constexpr int triesUntilNeverRan = 5;
// How long after the record's deadline an unreachable endpoint is asked. Then the whole hold is billed, since the count
// is lost and the budget must not be exceeded.
static constexpr std::chrono::minutes resolvePeriod(10);
// How long an answer's end may wait for its bill to become durable beyond the request's deadline.
static constexpr std::chrono::milliseconds durabilityGrace(2000);

// Everything that one request needs until its bill is queued.
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
    // Bytes of events that were read, to skip them after a reconnect.
    size_t bytesRead { 0 };
    int reconnects { 0 };
    bool wasSent { false };
    // Whether routeDone is still to be called.
    bool isRouteOpen { false };
    bool callerGone { false };
    // From the dispatch to the end of the stream.
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
    bool isRunning = co_await start(*session, refusal);
    // A refusal may say "not run" only if no earlier try with the same key ran.
    if (!isRunning && refusal.ran == Ran::NotRun && co_await session->attempt.joinEarlier())
        isRunning = co_await join(*session, refusal);
    if (!isRunning) {
        if (session->wasSent)
            resolveLater(session);
        co_return co_await sendRefusal(m_hooks.observer, refusal, writer);
    }
    if (co_await forward(*session, writer, refusal)) {
        co_await complete(*session, writer);
        co_return;
    }
    resolveLater(session);
    co_await breakOff(*session, writer, refusal);
}

Core::Task<bool> ChatHandler::start(Session& session, Refusal& refusal)
{
    if (!co_await session.attempt.hold(session.request.tokenBound, refusal))
        co_return false;
    RouteQuery query;
    query.workspace = session.identity.workspace;
    query.model = session.request.model;
    query.priority = session.identity.priority;
    query.prefix = session.request.prefix;
    for (;;) {
        Core::Reason reason;
        Telemetry::Span span = startRequestSpan(m_hooks, session.identity, "queue", Telemetry::SpanKind::Internal);
        std::optional<Route> route = co_await m_hooks.choose(query, session.identity.deadline, reason);
        if (!route)
            span.setError(reason.text());
        span.end();
        if (!route) {
            // After a failed try the earlier refusal says more than "no other endpoint".
            if (query.excluded.empty())
                refusal = notRun(reason.kind == Core::FailureKind::Refused ? "no_endpoint" : "overloaded", 503, reason, 1000);
            session.attempt.abandon();
            co_return false;
        }
        if (!co_await session.attempt.open(*route, refusal)) {
            m_hooks.routeDone(*route, { false, false });
            session.attempt.abandon();
            co_return false;
        }
        if (session.attempt.isJoined()) {
            m_hooks.routeDone(*route, { false, false });
            co_return co_await join(session, refusal);
        }
        bool mayTryNext = false;
        if (co_await dispatch(session, *route, refusal, mayTryNext))
            co_return true;
        if (!mayTryNext) {
            if (!session.wasSent)
                session.attempt.abandon();
            co_return false;
        }
        query.excluded.insert(route->endpoint);
    }
}

Core::Task<bool> ChatHandler::dispatch(Session& session, const Route& route, Refusal& refusal, bool& mayTryNext)
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
    std::optional<Refusal> notAdmitted;
    // Checked in the step that writes the request, so that a process that was paused sends nothing on stale intent.
    HTTP::SendGuard guard = [this, deadline, &notAdmitted] {
        notAdmitted = m_hooks.admission();
        return !notAdmitted && !deadline.hasPassed();
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
    session.endpointSpan.setError(notAdmitted ? notAdmitted->message : reason.text());
    session.endpointSpan.end();
    if (notAdmitted) {
        m_hooks.routeDone(route, { false, false });
        refusal = *notAdmitted;
        co_return false;
    }
    m_hooks.routeDone(route, { false, true });
    if (reason.kind == Core::FailureKind::OutcomeUnknown || reason.kind == Core::FailureKind::TimedOut) {
        session.route = route;
        session.wasSent = true;
        refusal = unknownOutcome("endpoint_failed", 502, reason, 1000);
        co_return false;
    }
    refusal = notRun("endpoint_failed", 502, reason, 1000);
    mayTryNext = !deadline.hasPassed();
    co_return false;
}

Core::Task<bool> ChatHandler::join(Session& session, Refusal& refusal)
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
    session.attempt.leaveToOwner();
    if (record.usage)
        refusal = unknownOutcome("already_ran", 409, reason);
    else
        refusal = unknownOutcome("in_progress", 409, reason, 1000);
    co_return false;
}

void ChatHandler::reportEventTime(Session& session) const
{
    Core::SteadyClock::time_point now = Core::SteadyClock::now();
    if (session.lastEventAt)
        m_hooks.observer.nextEvent(now - *session.lastEventAt);
    else
        m_hooks.observer.firstEvent(now - session.startedAt);
    session.lastEventAt = now;
}

Core::Task<bool> ChatHandler::forward(Session& session, HTTP::ResponseWriter& writer, Refusal& refusal)
{
    Core::Reason reason;
    if (session.request.isStreaming) {
        HTTP::Headers headers { { "Content-Type", "text/event-stream" }, { "Cache-Control", "no-cache" } };
        session.callerGone = !co_await writer.startStream(200, std::move(headers), reason);
    }
    for (;;) {
        std::optional<std::string> events = co_await readEvents(session, reason);
        if (!events) {
            refusal = unknownOutcome("endpoint_failed", 502, reason, 1000);
            if (session.identity.deadline.hasPassed())
                refusal = unknownOutcome("deadline", 504, reason);
            co_return false;
        }
        if (events->empty())
            co_return true;
        reportEventTime(session);
        if (!session.request.isStreaming) {
            session.assembler.add(*events);
            continue;
        }
        if (!session.callerGone && !co_await writer.writeChunk(*events, reason))
            session.callerGone = true;
        // With an idempotency key the caller may come back for the answer, so the stream goes on.
        if (session.callerGone && !session.identity.hasIdempotencyKey) {
            refusal = unknownOutcome("caller_gone", 499, reason);
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

Core::Task<void> ChatHandler::complete(Session& session, HTTP::ResponseWriter& writer)
{
    Ledger::Tokens used = session.stream->usage()->total();
    std::string finalEvent = session.stream->finalEvent();
    session.endpointSpan.setAttribute("tokens", used);
    session.endpointSpan.end();
    session.stream.reset();
    if (session.isRouteOpen)
        m_hooks.routeDone(session.route, { true, false });
    Core::Reason reason;
    Core::Deadline deadline(std::max(session.identity.deadline.at(), Core::Deadline::after(durabilityGrace).at()));
    bool isDurable = co_await session.attempt.makeDurable(used, Ledger::UsageKind::Complete, deadline, reason);
    session.attempt.finish(used, Ledger::UsageKind::Complete);
    if (session.callerGone) {
        m_hooks.observer.ended(RequestOutcome::CallerGone);
        co_return;
    }
    if (!isDurable) {
        co_await breakOff(session, writer, unknownOutcome("witness_unavailable", 503, reason, 1000));
        co_return;
    }
    if (session.request.isStreaming) {
        finalEvent += "data: [DONE]\n\n";
        bool isSent = co_await writer.writeChunk(finalEvent, reason) && co_await writer.finishStream(reason);
        m_hooks.observer.ended(isSent ? RequestOutcome::Answered : RequestOutcome::CallerGone);
        co_return;
    }
    std::optional<std::string> body = session.assembler.finish(finalEvent);
    if (!body) {
        reason = { Core::FailureKind::Invalid, "assemble answer", session.route.endpoint, "an event is not valid JSON" };
        co_return co_await sendRefusal(m_hooks.observer, unknownOutcome("endpoint_failed", 502, reason), writer);
    }
    HTTP::Response response { 200, { { "Content-Type", "application/json" } }, std::move(*body) };
    bool isSent = co_await writer.send(std::move(response), reason);
    m_hooks.observer.ended(isSent ? RequestOutcome::Answered : RequestOutcome::CallerGone);
}

Core::Task<void> ChatHandler::breakOff(Session& session, HTTP::ResponseWriter& writer, Refusal refusal)
{
    Core::Reason ignored;
    if (!writer.hasStarted())
        co_return co_await sendRefusal(m_hooks.observer, refusal, writer);
    m_hooks.observer.ended(session.callerGone ? RequestOutcome::CallerGone : RequestOutcome::BrokenOff);
    if (!session.callerGone) {
        m_hooks.observer.refused(refusal);
        std::string event = "event: error\ndata: " + refusal.json() + "\n\n";
        co_await writer.writeChunk(event, ignored);
    }
    // Without the final chunk no client takes the stream for complete.
    writer.abort();
}

void ChatHandler::resolveLater(std::shared_ptr<Session> session)
{
    session->stream.reset();
    session->endpointSpan.setError(session->callerGone ? "cancelled for the caller" : "the stream broke off");
    session->endpointSpan.end();
    if (session->attempt.isJoined()) {
        session->attempt.leaveToOwner();
        return;
    }
    if (session->isRouteOpen)
        m_hooks.routeDone(session->route, { false, !session->callerGone });
    ++m_unresolved;
    Core::spawn(m_executor, "resolve attempt", resolve(std::move(session)));
}

// Cancels the stream at the endpoint until the endpoint says what it counted, then bills that. The hold stays meanwhile.
Core::Task<void> ChatHandler::resolve(std::shared_ptr<Session> session)
{
    const Witness::Record& record = session->attempt.record();
    Core::Deadline lastTry(record.deadline.at() + resolvePeriod);
    std::chrono::milliseconds delay = firstResolveDelay;
    int timesNotFound = 0;
    std::optional<Ledger::Tokens> used;
    while (!used) {
        Core::Reason reason;
        bool isJoined = session->identity.hasIdempotencyKey && !record.deadline.hasPassed()
            && co_await m_hooks.isJoined(record.attemptId, Core::Deadline::after(cancelTimeout));
        if (isJoined) {
            co_await Core::sleepUntil(Core::Deadline::after(maxResolveDelay));
            continue;
        }
        std::optional<Endpoint::UsageCount> count
            = co_await m_engines.cancel(session->route.address, record.streamId, Core::Deadline::after(cancelTimeout), reason);
        if (count)
            used = count->total();
        else if (reason.kind == Core::FailureKind::NotFound && ++timesNotFound == triesUntilNeverRan)
            used = 0;
        else if (lastTry.hasPassed())
            used = record.tokensHeld;
        if (used)
            break;
        co_await Core::sleepUntil(Core::Deadline::after(delay));
        delay = std::min(delay * 2, maxResolveDelay);
    }
    Core::Reason ignored;
    co_await session->attempt.makeDurable(*used, Ledger::UsageKind::BrokenOff, Core::Deadline::after(cancelTimeout), ignored);
    session->attempt.finish(*used, Ledger::UsageKind::BrokenOff);
    --m_unresolved;
}

}
