#pragma once

#include "LibCore/Deadline.h"
#include <cstdint>
#include <deque>
#include <list>
#include <nlohmann/json.hpp>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Emulator {

// LRU cache of prompt prefix blocks with a capacity in tokens. Records stored and evicted blocks as events.
class PrefixCache {
public:
    struct Settings {
        int64_t capacityTokens { 0 };
        // Percentage of events that are dropped.
        int64_t gapPercent { 0 };
        // Delay before an event is reported.
        int64_t eventLagMs { 0 };
        uint64_t seed { 0 };
    };

    explicit PrefixCache(Settings);

    // Returns the number of cached tokens at the start of the prompt and marks their blocks as recently used.
    int64_t match(std::string_view prompt);
    void insert(std::string_view prompt);

    // {"events": [{"sequence", "kind": "stored"|"removed", "block"}], "next"}: the reported events after a sequence
    // number. Only the newest 4,096 events are kept.
    nlohmann::json eventsAfter(uint64_t sequence, Core::SteadyClock::time_point now) const;

private:
    struct Event {
        uint64_t sequence;
        Core::SteadyClock::time_point at;
        bool isStored;
        uint64_t block;
    };

    static std::vector<uint64_t> hashBlocks(std::string_view prompt);
    void touch(uint64_t block);
    void record(bool isStored, uint64_t block);

    Settings m_settings;
    // Most recently used first.
    std::list<uint64_t> m_recentlyUsed;
    std::unordered_map<uint64_t, std::list<uint64_t>::iterator> m_blocks;
    std::deque<Event> m_events;
    uint64_t m_lastSequence { 0 };
};

}
