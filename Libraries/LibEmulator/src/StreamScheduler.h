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

// Runs streams in a limited number of slots, in the order of priority and arrival, and keeps finished ones for a time.
class StreamScheduler : public std::enable_shared_from_this<StreamScheduler> {
public:
    StreamScheduler(const boost::asio::any_io_executor&, const EngineSettings&);

    struct Post {
        std::string streamId;
        std::string workspace;
        int priority { 0 };
        EngineRequest request;
    };

    // Starts or queues a stream that must not exist yet; empty when the queue is full.
    std::shared_ptr<GeneratedStream> start(Post);

    // A queued, running or kept stream; empty when there is none.
    std::shared_ptr<GeneratedStream> find(const std::string& streamId) const;

    // Stops the stream if it has not ended. What it generated so far stays counted.
    void cancel(GeneratedStream&);

    // Stops the stream and drops it, as after a crash of the engine.
    void forget(const std::shared_ptr<GeneratedStream>&);

    EngineCounters& counters() { return m_counters; }
    const PrefixCache& cache() const { return m_cache; }
    const LoadHistory& loadHistory() const { return m_loadHistory; }

private:
    // Higher priorities first, then earlier arrivals.
    using QueuePosition = std::pair<int, uint64_t>;
    static QueuePosition positionOf(const GeneratedStream& stream) { return { -stream.priority, stream.arrival }; }

    static Core::Task<void> generate(std::shared_ptr<StreamScheduler>, std::shared_ptr<GeneratedStream>);
    static Core::Task<void> expire(std::weak_ptr<StreamScheduler>, std::shared_ptr<GeneratedStream>, Core::Deadline);
    Core::Task<void> prefill(GeneratedStream&);
    Core::Task<void> produceTokens(GeneratedStream&);
    void fillSlots();
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
