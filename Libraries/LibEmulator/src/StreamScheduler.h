#pragma once

#include "EngineCounters.h"
#include "GeneratedStream.h"
#include "LibCore/Async.h"
#include "LibEmulator/EngineRequest.h"
#include "LibEmulator/EngineSettings.h"
#include "LoadHistory.h"
#include "PrefixCache.h"
#include <map>
#include <memory>
#include <unordered_map>

namespace Emulator {

// Runs streams in a limited number of slots, ordered by priority and arrival, and retains ended ones for keepFinishedMs.
class StreamScheduler : public std::enable_shared_from_this<StreamScheduler> {
public:
    StreamScheduler(const boost::asio::any_io_executor&, const EngineSettings&);

    struct StreamRequest {
        std::string streamId;
        std::string workspace;
        int priority { 0 };
        EngineRequest request;
    };

    // Starts or queues a stream, which must not exist yet. Returns nullptr if the queue is full.
    std::shared_ptr<GeneratedStream> start(StreamRequest);

    // Finds a queued, running or retained stream. Returns nullptr if there is none.
    std::shared_ptr<GeneratedStream> find(const std::string& streamId) const;

    // Cancels the stream if it has not ended. Tokens generated so far remain counted.
    void cancel(GeneratedStream&);

    // Cancels and removes the stream, as a crash of the engine would.
    void removeStream(const std::shared_ptr<GeneratedStream>&);

    EngineCounters& counters() { return m_counters; }
    const PrefixCache& cache() const { return m_cache; }
    const LoadHistory& loadHistory() const { return m_loadHistory; }

private:
    // Orders by descending priority, then by arrival.
    using QueuePosition = std::pair<int, uint64_t>;
    static QueuePosition positionOf(const GeneratedStream& stream) { return { -stream.priority, stream.arrival }; }

    static Core::Task<void> generate(std::shared_ptr<StreamScheduler>, std::shared_ptr<GeneratedStream>);
    static Core::Task<void> expire(std::weak_ptr<StreamScheduler>, std::shared_ptr<GeneratedStream>, Core::Deadline);
    Core::Task<void> prefill(GeneratedStream&);
    Core::Task<void> generateTokens(GeneratedStream&);
    void startQueuedStreams();
    void recordLoad();

    boost::asio::any_io_executor m_executor;
    EngineSettings m_settings;
    EngineCounters m_counters;
    PrefixCache m_cache;
    LoadHistory m_loadHistory;
    std::unordered_map<std::string, std::shared_ptr<GeneratedStream>> m_streams;
    std::map<QueuePosition, std::shared_ptr<GeneratedStream>> m_queue;
    int64_t m_running { 0 };
    uint64_t m_arrivals { 0 };
};

}
