#include "StreamWatch.h"

#include "Events.h"
#include "LibRelay/StreamSilence.h"

namespace Relay {

using Core::Deadline;
using Core::Reason;

// Delay before a status request that failed is sent again.
static constexpr std::chrono::milliseconds statusRetryDelay(200);
static constexpr size_t maxStatusBytes = 256 * 1024;

namespace {

class StreamWatch {
public:
    StreamWatch(std::shared_ptr<WatchedStream> stream, std::shared_ptr<HTTP::Client> client, const WireCodec& codec, const HandlerSettings& settings, const EndpointSelector& selector)
        : m_stream(std::move(stream))
        , m_client(std::move(client))
        , m_codec(codec)
        , m_settings(settings)
        , m_selector(selector)
    {
    }

    Core::Task<void> run()
    {
        Core::SteadyClock::time_point checkAt = m_stream->lastEventAt + silenceLimit();
        while (!m_stream->isOver) {
            co_await Core::sleepUntil(Deadline(checkAt));
            if (m_stream->isOver)
                co_return;
            checkAt = m_stream->lastEventAt + silenceLimit();
            if (Core::SteadyClock::now() < checkAt) {
                m_evidence = {};
                continue;
            }
            checkAt = Core::SteadyClock::now() + silenceLimit();
            if (!m_stream->canMove() || isEndpointPaused())
                continue;
            Core::SteadyClock::time_point silentSince = m_stream->lastEventAt;
            co_await gatherEvidence();
            // A status request that the endpoint refused, or that was not sent because of a pause, is no evidence.
            if (m_stream->isOver || m_stream->lastEventAt != silentSince || !m_stream->canMove() || isEndpointPaused())
                continue;
            m_stream->lossReason = findStreamLoss(m_evidence, m_stream->requestId, m_stream->lastEvent);
            logCheck();
            if (m_stream->lossReason) {
                m_stream->cancellation->cancel();
                co_return;
            }
            if (m_evidence.failedStatusRequests > 0)
                checkAt = Core::SteadyClock::now() + statusRetryDelay;
        }
    }

private:
    std::chrono::milliseconds silenceLimit() const
    {
        return std::chrono::milliseconds(m_stream->hasEvents ? m_settings.streamIdleTimeoutMs : m_settings.firstEventTimeoutMs);
    }

    bool isEndpointPaused() const { return m_selector.isPaused(m_stream->endpoint, Core::SteadyClock::now()); }

    Core::Task<void> gatherEvidence()
    {
        m_evidence.status = std::nullopt;
        if (m_codec.statusRequest) {
            Reason reason;
            bool wasWithheld = false;
            m_evidence.status = co_await requestStatus(wasWithheld, reason);
            // A connection that an evacuated endpoint accepts is no evidence of a loss; one that it does not accept is.
            if (!isEndpointPaused())
                m_evidence.failedStatusRequests = m_evidence.status || wasWithheld ? 0 : m_evidence.failedStatusRequests + 1;
        }
        const std::string& id = m_stream->endpoint.id;
        m_evidence.isRegistered = m_selector.isRegistered(id);
        m_evidence.areOthersSilent = m_selector.inFlight(id) > 1 && m_selector.lastBytesAt(id) <= m_stream->lastEventAt;
    }

    Core::Task<std::optional<EngineStatus>> requestStatus(bool& wasWithheld, Reason& reason)
    {
        Deadline deadline = Deadline::after(std::chrono::milliseconds(m_settings.statusTimeoutMs));
        HTTP::CallOptions options;
        // A new connection, since the pooled ones may have been cut silently together with the stream.
        options.use = HTTP::ConnectionUse::Fresh;
        options.guard = [this, &wasWithheld] {
            wasWithheld = m_selector.isEvacuated(m_stream->endpoint);
            return !wasWithheld && !isEndpointPaused();
        };
        std::optional<std::unique_ptr<HTTP::ResponseStream>> response
            = co_await m_client->call(m_stream->endpoint.address, m_codec.statusRequest(), deadline, std::move(options), reason);
        if (!response)
            co_return std::nullopt;
        m_stream->statusAnswered((*response)->status(), (*response)->headers());
        std::optional<std::string> body = co_await (*response)->readAll(maxStatusBytes, deadline, reason);
        if (!body)
            co_return std::nullopt;
        co_return m_codec.decodeStatus(*body, reason);
    }

    void logCheck() const
    {
        int64_t silentMs = std::chrono::duration_cast<std::chrono::milliseconds>(Core::SteadyClock::now() - m_stream->lastEventAt).count();
        std::string status = m_evidence.status ? "queued=" + std::to_string(m_evidence.status->queued) + " active=" + std::to_string(m_evidence.status->active) : "status=none";
        Core::logEvent(Events::streamSilent, "request=" + m_stream->requestId + " endpoint=" + m_stream->endpoint.id + " silent_ms=" + std::to_string(silentMs) + " last_event=" + std::to_string(m_stream->lastEvent) + " registered=" + std::to_string(m_evidence.isRegistered) + " others_silent=" + std::to_string(m_evidence.areOthersSilent) + " failed_status_requests=" + std::to_string(m_evidence.failedStatusRequests) + " " + status + " moved=" + std::to_string(m_stream->lossReason.has_value()) + " reason=\"" + m_stream->lossReason.value_or("the engine may still answer") + "\"");
    }

    std::shared_ptr<WatchedStream> m_stream;
    std::shared_ptr<HTTP::Client> m_client;
    const WireCodec& m_codec;
    const HandlerSettings& m_settings;
    const EndpointSelector& m_selector;
    SilenceEvidence m_evidence;
};

}

Core::Task<void> watchStream(std::shared_ptr<WatchedStream> stream, std::shared_ptr<HTTP::Client> client, const WireCodec& codec,
    const HandlerSettings& settings, const EndpointSelector& selector)
{
    StreamWatch watch(std::move(stream), std::move(client), codec, settings, selector);
    co_await watch.run();
}

}
