#include "StreamScheduler.h"

#include "LibCore/Hash.h"

namespace Emulator {

using Phase = GeneratedStream::Phase;

// Number of tokens after which generation yields to other tasks even if it is behind schedule.
static constexpr int64_t tokensBetweenYields = 64;

StreamScheduler::StreamScheduler(const boost::asio::any_io_executor& executor, const EngineSettings& settings)
    : m_executor(executor)
    , m_settings(settings)
    , m_cache({ settings.cacheTokens, settings.cacheEventGapPercent, settings.cacheEventLagMs, settings.seed })
    , m_loadHistory(settings.loadLagMs)
{
}

std::shared_ptr<GeneratedStream> StreamScheduler::start(StreamRequest streamRequest)
{
    if (m_running >= m_settings.slots && static_cast<int64_t>(m_queue.size()) >= m_settings.queueLimit)
        return nullptr;
    std::shared_ptr<GeneratedStream> stream = std::make_shared<GeneratedStream>(
        m_executor, streamRequest.streamId, std::move(streamRequest.workspace), std::move(streamRequest.request.model), std::move(streamRequest.request.prompt), streamRequest.request.maxTokens);
    stream->priority = streamRequest.priority;
    stream->arrival = ++m_arrivals;
    m_streams[streamRequest.streamId] = stream;
    m_queue[positionOf(*stream)] = stream;
    startQueuedStreams();
    return stream;
}

std::shared_ptr<GeneratedStream> StreamScheduler::find(const std::string& streamId) const
{
    std::unordered_map<std::string, std::shared_ptr<GeneratedStream>>::const_iterator found = m_streams.find(streamId);
    return found == m_streams.end() ? nullptr : found->second;
}

void StreamScheduler::cancel(GeneratedStream& stream)
{
    if (stream.hasEnded())
        return;
    bool isQueued = stream.phase == Phase::Queued;
    if (isQueued)
        m_queue.erase(positionOf(stream));
    stream.phase = Phase::Cancelled;
    stream.stopped.notifyAll();
    stream.changed.notifyAll();
    if (isQueued) {
        recordLoad();
        Core::spawn(m_executor, "expire stream",
            expire(weak_from_this(), find(stream.id), Core::Deadline::after(std::chrono::milliseconds(m_settings.keepFinishedMs))));
    }
}

void StreamScheduler::removeStream(const std::shared_ptr<GeneratedStream>& stream)
{
    cancel(*stream);
    if (find(stream->id) == stream)
        m_streams.erase(stream->id);
}

void StreamScheduler::startQueuedStreams()
{
    while (m_running < m_settings.slots && !m_queue.empty()) {
        std::shared_ptr<GeneratedStream> stream = m_queue.begin()->second;
        m_queue.erase(m_queue.begin());
        stream->phase = Phase::Running;
        ++m_running;
        Core::spawn(m_executor, "generate stream", generate(shared_from_this(), stream));
    }
    recordLoad();
}

Core::Task<void> StreamScheduler::generate(std::shared_ptr<StreamScheduler> self, std::shared_ptr<GeneratedStream> stream)
{
    if (!stream->hasEnded())
        co_await self->prefill(*stream);
    if (!stream->hasEnded())
        co_await self->generateTokens(*stream);
    if (!stream->hasEnded())
        stream->phase = Phase::Finished;
    stream->changed.notifyAll();
    --self->m_running;
    self->startQueuedStreams();
    Core::Deadline expiry = Core::Deadline::after(std::chrono::milliseconds(self->m_settings.keepFinishedMs));
    Core::spawn(self->m_executor, "expire stream", expire(self, stream, expiry));
}

Core::Task<void> StreamScheduler::expire(std::weak_ptr<StreamScheduler> weakSelf, std::shared_ptr<GeneratedStream> stream, Core::Deadline expiry)
{
    co_await Core::sleepUntil(expiry);
    std::shared_ptr<StreamScheduler> self = weakSelf.lock();
    if (self && self->find(stream->id) == stream)
        self->m_streams.erase(stream->id);
}

Core::Task<void> StreamScheduler::prefill(GeneratedStream& stream)
{
    stream.usedPromptTokens = stream.answer.promptTokens();
    m_counters.countRun(stream.workspace, stream.id, stream.usedPromptTokens);
    int64_t newTokens = stream.answer.promptTokens() - m_cache.match(stream.prompt);
    std::chrono::microseconds duration(newTokens * m_settings.prefillMsPer1000Tokens);
    if (duration.count() > 0)
        co_await stream.stopped.wait(Core::Deadline(Core::SteadyClock::now() + duration));
    if (!stream.hasEnded())
        m_cache.insert(stream.prompt);
}

Core::Task<void> StreamScheduler::generateTokens(GeneratedStream& stream)
{
    uint64_t streamSeed = Core::hash64(stream.id, m_settings.seed);
    Core::SteadyClock::time_point next = Core::SteadyClock::now();
    while (stream.generatedTokens < stream.answer.length()) {
        std::string_view indexBytes(reinterpret_cast<const char*>(&stream.generatedTokens), sizeof(stream.generatedTokens));
        int64_t jitter = 10 * m_settings.tokenJitterPercent;
        int64_t permille = 1000 - jitter + static_cast<int64_t>(Core::hash64(indexBytes, streamSeed) % static_cast<uint64_t>(2 * jitter + 1));
        next += std::chrono::microseconds(m_settings.timePerTokenUs * permille / 1000);
        bool mustYield = stream.generatedTokens % tokensBetweenYields == tokensBetweenYields - 1;
        if (mustYield || next > Core::SteadyClock::now())
            co_await stream.stopped.wait(Core::Deadline(next));
        if (stream.hasEnded())
            co_return;
        ++stream.generatedTokens;
        m_counters.countToken(stream.workspace, stream.id);
        stream.changed.notifyAll();
    }
}

void StreamScheduler::recordLoad()
{
    m_loadHistory.record({ m_running, static_cast<int64_t>(m_queue.size()) }, Core::SteadyClock::now());
}

}
