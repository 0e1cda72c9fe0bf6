#include "Events.h"
#include "RequestExecution.h"
#include <algorithm>
#include <array>
#include <utility>

// The part of RequestExecution that forwards an endpoint's response to the caller.
namespace Relay {

using Core::Deadline;
using Core::Reason;

// Non-streaming responses up to this size are buffered before they are forwarded, so that a truncated one can be retried.
static constexpr size_t maxBufferedResponseBytes = 8 * 1024 * 1024;
// Size and time limits for draining the body of a refusal, which allows its connection to be reused.
static constexpr size_t maxDrainedBytes = 64 * 1024;
static constexpr std::chrono::milliseconds refusalDrainTimeout(50);
static constexpr unsigned misdirectedStatus = 421;
// Callers understand these statuses as a guarantee that the request has not run and will not run.
static constexpr std::array<unsigned, 4> refusalStatuses { 408, misdirectedStatus, 429, 503 };

Core::Task<RequestExecution::Outcome> RequestExecution::handleResponse(const Endpoint& endpoint, std::unique_ptr<HTTP::ResponseStream> stream)
{
    EndpointSelector& selector = m_handler.m_selector;
    selector.recordBytes(endpoint.id, Core::SteadyClock::now());
    ResponseMetadata metadata = m_handler.m_codec.decodeResponseMetadata(stream->status(), stream->headers());
    Outcome outcome = Outcome::Unknown;
    EndpointSelector::End end = EndpointSelector::End::Neutral;
    if (metadata.isNotRun) {
        --m_possibleRuns;
        outcome = Outcome::NotRun;
        m_lastFailure = "endpoint " + endpoint.id + " refused with status " + std::to_string(stream->status());
        if (stream->status() == misdirectedStatus) {
            m_handler.m_hooks.rejectEndpoint(endpoint.id);
        } else {
            m_wasOverloaded = true;
            m_wasRejected = true;
            selector.recordOverload(endpoint.id, Core::SteadyClock::now());
        }
        co_await stream->discardAll(maxDrainedBytes, Deadline::after(refusalDrainTimeout));
    } else if (m_route.isStream && stream->status() / 100 == 2) {
        outcome = co_await forwardStream(endpoint, *stream, metadata.isSealed);
        end = outcome == Outcome::Finished ? EndpointSelector::End::Success : EndpointSelector::End::Failure;
    } else if (m_writer.hasStarted()) {
        // The caller has already received part of a stream, so a different response cannot be sent.
        m_lastFailure = "endpoint " + endpoint.id + " did not resume the stream, status " + std::to_string(stream->status());
        end = EndpointSelector::End::Failure;
    } else {
        bool isFailure = stream->status() >= 500;
        outcome = co_await forwardWholeResponse(endpoint, *stream, metadata.isSealed);
        end = outcome == Outcome::Finished && !isFailure ? EndpointSelector::End::Success : EndpointSelector::End::Failure;
    }
    if (*m_isCallerGone || m_deadline.hasPassed())
        end = EndpointSelector::End::Neutral;
    selector.recordEnd(endpoint.id, end, Core::SteadyClock::now());
    if (outcome == Outcome::Finished)
        co_return outcome;
    Core::logEvent(Events::attemptFailed, "request=" + m_request.id + " endpoint=" + endpoint.id + " sent=1 not_run=" + std::to_string(metadata.isNotRun) + " events=" + std::to_string(m_events) + " reason=\"" + m_lastFailure + "\"");
    if (*m_isCallerGone) {
        logCompletion("caller_gone", "");
        co_return Outcome::Finished;
    }
    co_return outcome;
}

Core::Task<RequestExecution::Outcome> RequestExecution::forwardWholeResponse(const Endpoint& endpoint, HTTP::ResponseStream& stream, bool isSealed)
{
    Reason reason;
    std::optional<std::string> body = co_await stream.readAll(maxBufferedResponseBytes, m_deadline, reason);
    if (!body) {
        m_hasConnectionBroken = true;
        m_lastFailure = reason.text();
        co_return Outcome::Unknown;
    }
    if (!isSealed) {
        m_lastFailure = "endpoint " + endpoint.id + " sent a response without its seal, status " + std::to_string(stream.status());
        co_return Outcome::Unknown;
    }
    // Another endpoint may succeed.
    if (stream.status() >= 500 && m_route.mayRunAgain() && canRetry(Outcome::Unknown)) {
        m_lastFailure = "endpoint " + endpoint.id + " failed with status " + std::to_string(stream.status());
        co_return Outcome::Unknown;
    }
    if (!m_route.mayRunAgain() && std::find(refusalStatuses.begin(), refusalStatuses.end(), stream.status()) != refusalStatuses.end()) {
        m_lastFailure = "endpoint " + endpoint.id + " answered with status " + std::to_string(stream.status()) + " and does not say that the request has not run";
        co_return Outcome::Unknown;
    }
    if (stream.status() / 100 == 2) {
        m_handler.m_quarantine.recordAnswerBegun(Core::SteadyClock::now());
        m_handler.m_confirmation.add(endpoint, m_request.id, m_request.promptParts);
    }
    m_firstByteMs = elapsedMs();
    HTTP::Response response { stream.status(), m_handler.m_codec.callerHeaders(stream.headers()), std::move(*body) };
    // From here on the memory is charged to the caller. One that does not read must not take up the memory for responses.
    stream.reserve(0);
    bool isSent = co_await m_writer.send(std::move(response), reason);
    logCompletion(isSent ? "answered" : "caller_gone", "status=" + std::to_string(stream.status()) + " endpoint=" + endpoint.id);
    co_return Outcome::Finished;
}

Core::Task<bool> RequestExecution::forwardEvent(const StreamEvent& event, const HTTP::ResponseStream& stream)
{
    Reason reason;
    if (!m_writer.hasStarted()) {
        m_firstByteMs = elapsedMs();
        m_mediaType = HTTP::mediaType(stream.headers());
        if (!co_await m_writer.startStream(stream.status(), m_handler.m_codec.callerHeaders(stream.headers()), reason))
            co_return false;
    }
    co_return co_await m_writer.writeChunk(event.bytes, reason);
}

Core::Task<bool> RequestExecution::hasEngineEndedWith(const Endpoint& endpoint, const HTTP::ResponseStream& stream)
{
    if (!stream.endsWithConnection() || !m_isEngine || !m_handler.m_selector.isExpectedToRun(endpoint) || m_handler.m_selector.isPaused(endpoint, Core::SteadyClock::now()))
        co_return false;
    // The system closes the connections of a process that is killed as if the process had done so.
    co_return co_await m_handler.m_crashCheck.check(endpoint, Core::SteadyClock::now()) == EngineState::Ended;
}

Core::Task<RequestExecution::Outcome> RequestExecution::forwardStream(const Endpoint& endpoint, HTTP::ResponseStream& stream, bool isSealed)
{
    // The response continues a stream that another endpoint began.
    bool isResumption = m_writer.hasStarted();
    std::string mediaType = HTTP::mediaType(stream.headers());
    if (!isSealed || (isResumption && !mediaType.empty() && mediaType != m_mediaType)) {
        m_lastFailure = "endpoint " + endpoint.id + " sent " + (isSealed ? "\"" + mediaType + "\" in place of the rest of the stream" : "a stream without its seal");
        co_return Outcome::Unknown;
    }
    EventStreamParser parser;
    Reason reason;
    bool hasEvents = false;
    for (;;) {
        std::optional<std::string> chunk = co_await stream.readSome(m_deadline, reason);
        if (!chunk) {
            m_hasConnectionBroken = true;
            m_lastFailure = lossReason().value_or(reason.text());
            co_return Outcome::Unknown;
        }
        m_handler.m_selector.recordBytes(endpoint.id, Core::SteadyClock::now());
        if (chunk->empty())
            break;
        std::vector<StreamEvent> events = parser.feed(*chunk);
        recordEngineEvents(endpoint, events.size());
        for (const StreamEvent& event : events) {
            // Events are counted from 1.
            uint64_t previousEvent = m_lastEvent.value_or(m_request.lastEvent.value_or(0));
            if (!event.id || *event.id == 0 || *event.id - 1 != previousEvent) {
                m_lastFailure = "endpoint " + endpoint.id + " sent event " + (event.id ? std::to_string(*event.id) : "without an id") + " after " + std::to_string(previousEvent);
                co_return Outcome::Unknown;
            }
            if (isResumption && event.isError) {
                m_lastFailure = "endpoint " + endpoint.id + " sent an error in place of event " + std::to_string(*event.id);
                co_return Outcome::Unknown;
            }
            if (!hasEvents && !bindOrigin(endpoint))
                co_return Outcome::Unknown;
            if (!std::exchange(hasEvents, true))
                m_handler.m_quarantine.recordAnswerBegun(Core::SteadyClock::now());
            ++m_events;
            if (!co_await holdReceivedTokens()) {
                --m_events;
                co_return Outcome::Unknown;
            }
            m_lastEvent = event.id;
            if (m_watched) {
                m_watched->lastEventAt = Core::SteadyClock::now();
                m_watched->lastEvent = *event.id;
                m_watched->hasEvents = true;
            }
            if (!co_await forwardEvent(event, stream)) {
                *m_isCallerGone = true;
                logCompletion("caller_gone", "endpoint=" + endpoint.id);
                co_return Outcome::Finished;
            }
        }
        if (parser.isOversized() || !stream.reserve(parser.pendingBytes())) {
            m_lastFailure = "endpoint " + endpoint.id + " sent an event that does not end, or the memory for responses is short, with " + std::to_string(parser.pendingBytes()) + " bytes pending";
            co_return Outcome::Unknown;
        }
    }
    if (parser.hasIncompleteEvent() || !hasEvents) {
        m_hasConnectionBroken = true;
        m_lastFailure = "endpoint " + endpoint.id + " ended its stream within an event or before the first one";
        co_return Outcome::Unknown;
    }
    if (co_await hasEngineEndedWith(endpoint, stream)) {
        m_hasConnectionBroken = true;
        m_lastFailure = "endpoint " + endpoint.id + " ended together with its stream, which has no length";
        co_return Outcome::Unknown;
    }
    m_handler.m_confirmation.add(endpoint, m_request.id, m_request.promptParts);
    bool isSent = co_await m_writer.finishStream(reason);
    m_isComplete = isSent;
    logCompletion(isSent ? "answered" : "caller_gone", "status=" + std::to_string(stream.status()) + " endpoint=" + endpoint.id);
    co_return Outcome::Finished;
}

}
