#pragma once

#include "ReplayEventQueue.h"
#include "ReplayRequest.h"
#include "RoutingReplaySettings.h"
#include <deque>
#include <functional>
#include <list>
#include <unordered_map>

namespace Commands {

// A model engine in a replay, with the same rules as the emulated engine: slots, a queue and a prefix cache.
class ReplayEndpoint {
public:
    using Ended = std::function<void()>;

    ReplayEndpoint(ReplayEventQueue&, const RoutingReplaySettings&);

    // Runs or queues the request; ended is called when it has finished or was shed.
    void submit(ReplayRequest&, Ended);
    int64_t load() const { return m_running + static_cast<int64_t>(m_queue.size()); }

private:
    struct Queued {
        ReplayRequest* request;
        Ended ended;
    };

    void start(Queued);
    void startQueued();
    bool isCached(uint64_t prefix);
    void cache(uint64_t prefix);

    ReplayEventQueue& m_events;
    const RoutingReplaySettings& m_settings;
    std::deque<Queued> m_queue;
    int64_t m_running { 0 };
    // Most recently used first.
    std::list<uint64_t> m_cacheOrder;
    std::unordered_map<uint64_t, std::list<uint64_t>::iterator> m_cached;
};

}
