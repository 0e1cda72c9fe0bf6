#pragma once

#include "EventQueue.h"
#include "ReplayRequest.h"
#include "ReplaySettings.h"
#include <deque>
#include <functional>
#include <list>
#include <unordered_map>

namespace Commands {

// A simulated model engine. Like the emulated engine, it has slots, a queue and a prefix cache.
class ReplayEndpoint {
public:
    using CompletionHandler = std::function<void()>;

    ReplayEndpoint(Measure::EventQueue&, const ReplaySettings&);

    // Runs or queues the request. The handler is called when the request has completed or was shed.
    void submit(ReplayRequest&, CompletionHandler);
    int64_t load() const { return m_running + static_cast<int64_t>(m_queue.size()); }

private:
    struct Queued {
        ReplayRequest* request;
        CompletionHandler onCompletion;
    };

    void start(Queued);
    void startQueued();
    bool isCached(uint64_t prefix);
    void cache(uint64_t prefix);

    Measure::EventQueue& m_events;
    const ReplaySettings& m_settings;
    std::deque<Queued> m_queue;
    int64_t m_running { 0 };
    // Most recently used first.
    std::list<uint64_t> m_cacheOrder;
    std::unordered_map<uint64_t, std::list<uint64_t>::iterator> m_cached;
};

}
