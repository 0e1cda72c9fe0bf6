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

// Keeps the least recently used blocks of prompt prefixes within a limit of tokens, and records what it stored and
// removed as events.
class PrefixCache {
public:
    struct Settings {
        int64_t capacityTokens { 0 };
        // Share of the events that are never reported.
        int64_t gapPercent { 0 };
        // Age from which on events are reported.
        int64_t eventLagMs { 0 };
        uint64_t seed { 0 };
    };

    explicit PrefixCache(Settings);

    // Number of tokens at the prompt's start that are cached. Marks them as used.
    int64_t match(std::string_view prompt);
    void insert(std::string_view prompt);

    // {"events": [{"sequence", "kind": "stored"|"removed", "block"}], "next"}: the reported events after a sequence
    // number. Older events than the newest 4,096 are lost.
    nlohmann::json eventsAfter(uint64_t sequence, Core::SteadyClock::time_point now) const;

private:
    struct Event {
        uint64_t sequence;
        Core::SteadyClock::time_point at;
        bool isStored;
        uint64_t block;
    };

    static std::vector<uint64_t> blocksOf(std::string_view prompt);
    void touch(uint64_t block);
    void record(bool isStored, uint64_t block);

    Settings m_settings;
    // Most recently used first.
    std::list<uint64_t> m_order;
    std::unordered_map<uint64_t, std::list<uint64_t>::iterator> m_blocks;
    std::deque<Event> m_events;
    uint64_t m_lastSequence { 0 };
};

}
