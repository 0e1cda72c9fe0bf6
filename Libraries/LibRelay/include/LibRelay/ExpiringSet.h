#pragma once

#include "LibCore/Deadline.h"
#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace Relay {

// A bounded set of keys that each expire a fixed time after they were last added. The key that was added least recently makes
// room for a new one.
class ExpiringSet {
public:
    ExpiringSet(std::chrono::milliseconds lifetime, size_t maxSize)
        : m_lifetime(lifetime)
        , m_maxSize(maxSize)
    {
    }

    void add(uint64_t key, Core::SteadyClock::time_point now);
    bool contains(uint64_t key, Core::SteadyClock::time_point now) const;
    size_t size() const { return m_positions.size(); }

private:
    struct Entry {
        uint64_t key;
        Core::SteadyClock::time_point expiresAt;
    };

    std::chrono::milliseconds m_lifetime;
    size_t m_maxSize;
    // Least recently added first.
    std::list<Entry> m_entries;
    std::unordered_map<uint64_t, std::list<Entry>::iterator> m_positions;
};

}
