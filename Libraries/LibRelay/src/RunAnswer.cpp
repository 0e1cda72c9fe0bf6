#include "Events.h"
#include "Run.h"

// The part of a run that passes an endpoint's answer on.
namespace Relay {

using Core::Deadline;
using Core::Reason;

// Whole answers up to this size are read before they are passed on, so that a broken one can be asked for again.
static constexpr size_t maxWholeAnswerBytes = 8 * 1024 * 1024;
// Time to read the rest of a refusal, so that its connection can be used again.
static constexpr std::chrono::milliseconds refusalReadTime(50);
static constexpr unsigned misdirectedStatus = 421;

Core::Task<Run::Outcome> Run::readAnswer(const Endpoint& endpoint, std::unique_ptr<HTTP::ResponseStream> stream)
{
    EndpointSelector& selector = m_handler.m_selector;
    selector.recordBytes(endpoint.id, Core::SteadyClock::now());
    ReplyMarks marks = m_handler.m_codec.readMarks(stream->status(), stream->headers());
    Outcome outcome = Outcome::Unknown;
    EndpointSelector::End end = EndpointSelector::End::Neutral;
    if (marks.isNotRun) {
        --m_possibleRuns;
        outcome = Outcome::NotRun;
        m_lastFailure = "endpoint " + endpoint.id + " refused with status " + std::to_string(stream->status());
        if (stream->status() == misdirectedStatus) {
            m_handler.m_hooks.rejectEndpoint(endpoint.id);
        } else {
            m_wasFull = true;
            selector.recordFull(endpoint.id, Core::SteadyClock::now());
        }
        Reason ignored;
        co_await stream->readAll(maxWholeAnswerBytes, Deadline::after(refusalReadTime), ignored);
    } else if (m_route.isStream && stream->status() / 100 == 2) {
        outcome = co_await passStream(endpoint, *stream);
        end = outcome == Outcome::Finished ? EndpointSelector::End::Success : EndpointSelector::End::Failure;
    } else if (m_writer.hasStarted()) {
        // The caller is in the middle of a stream, into which no other response fits.
        m_lastFailure = "endpoint " + endpoint.id + " did not go on with the stream, status " + std::to_string(stream->status());
        end = EndpointSelector::End::Failure;
    } else {
        bool isFailure = stream->status() >= 500;
        outcome = co_await passWhole(endpoint, *stream, marks.isSealed);
        end = outcome == Outcome::Finished && !isFailure ? EndpointSelector::End::Success : EndpointSelector::End::Failure;
    }
    if (*m_isCallerGone || m_deadline.hasPassed())
        end = EndpointSelector::End::Neutral;
    selector.recordEnd(endpoint.id, end, Core::SteadyClock::now());
    if (outcome == Outcome::Finished)
        co_return outcome;
    Core::logEvent(Events::attemptFailed, "request=" + m_request.id + " endpoint=" + endpoint.id + " sent=1 not_run=" + std::to_string(marks.isNotRun) + " events=" + std::to_string(m_events) + " reason=\"" + m_lastFailure + "\"");
    if (*m_isCallerGone) {
        logEnd("caller_gone", "");
        co_return Outcome::Finished;
    }
    co_return outcome;
}

Core::Task<Run::Outcome> Run::passWhole(const Endpoint& endpoint, HTTP::ResponseStream& stream, bool isSealed)
{
    Reason reason;
    std::optional<std::string> body = co_await stream.readAll(maxWholeAnswerBytes, m_deadline, reason);
    if (!body) {
        m_lastFailure = reason.text();
        co_return Outcome::Unknown;
    }
    if (!isSealed) {
        m_lastFailure = "endpoint " + endpoint.id + " sent an answer without its seal, status " + std::to_string(stream.status());
        co_return Outcome::Unknown;
    }
    // A failure of the endpoint may be another one's success.
    if (stream.status() >= 500 && m_route.mayRunAgain() && mayTryAgain(Outcome::Unknown)) {
        m_lastFailure = "endpoint " + endpoint.id + " failed with status " + std::to_string(stream.status());
        co_return Outcome::Unknown;
    }
    m_firstByteMs = elapsedMs();
    HTTP::Response response { stream.status(), m_handler.m_codec.callerHeaders(stream.headers()), std::move(*body) };
    bool isSent = co_await m_writer.send(std::move(response), reason);
    logEnd(isSent ? "answered" : "caller_gone", "status=" + std::to_string(stream.status()) + " endpoint=" + endpoint.id);
    co_return Outcome::Finished;
}

Core::Task<bool> Run::passEvent(const StreamEvent& event, const HTTP::ResponseStream& stream)
{
    Reason reason;
    if (!m_writer.hasStarted()) {
        m_firstByteMs = elapsedMs();
        if (!co_await m_writer.startStream(stream.status(), m_handler.m_codec.callerHeaders(stream.headers()), reason))
            co_return false;
    }
    co_return co_await m_writer.writeChunk(event.bytes, reason);
}

Core::Task<Run::Outcome> Run::passStream(const Endpoint& endpoint, HTTP::ResponseStream& stream)
{
    EventStreamReader reader;
    Reason reason;
    for (;;) {
        std::optional<std::string> piece = co_await stream.readSome(readDeadline(), reason);
        if (!piece) {
            m_lastFailure = reason.text();
            co_return Outcome::Unknown;
        }
        m_handler.m_selector.recordBytes(endpoint.id, Core::SteadyClock::now());
        if (piece->empty())
            break;
        for (const StreamEvent& event : reader.feed(*piece)) {
            std::optional<uint64_t> before = m_lastEvent ? m_lastEvent : m_request.lastEvent;
            if (!event.id || (before && *event.id != *before + 1)) {
                m_lastFailure = "endpoint " + endpoint.id + " sent event " + (event.id ? std::to_string(*event.id) : "without id") + " after " + std::to_string(before.value_or(0));
                co_return Outcome::Unknown;
            }
            ++m_events;
            m_lastEvent = event.id;
            if (!co_await passEvent(event, stream)) {
                *m_isCallerGone = true;
                logEnd("caller_gone", "endpoint=" + endpoint.id);
                co_return Outcome::Finished;
            }
        }
    }
    if (reader.isInsideEvent() || !m_writer.hasStarted()) {
        m_lastFailure = "endpoint " + endpoint.id + " ended its stream in the middle of an event";
        co_return Outcome::Unknown;
    }
    bool isSent = co_await m_writer.finishStream(reason);
    logEnd(isSent ? "answered" : "caller_gone", "status=" + std::to_string(stream.status()) + " endpoint=" + endpoint.id);
    co_return Outcome::Finished;
}

}
