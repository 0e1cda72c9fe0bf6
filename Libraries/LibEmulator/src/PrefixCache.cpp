#include "PrefixCache.h"

#include "LibCore/Hash.h"
#include <cstdio>

namespace Emulator {

static constexpr size_t blockTokens = 64;
static constexpr size_t blockBytes = blockTokens * 4;
static constexpr size_t maxEvents = 4096;

PrefixCache::PrefixCache(Settings settings)
    : m_settings(settings)
{
}

// Each block's hash includes the hash of the preceding block, so that equal hashes identify equal prefixes.
std::vector<uint64_t> PrefixCache::hashBlocks(std::string_view prompt)
{
    std::vector<uint64_t> blocks;
    uint64_t previous = 0;
    for (size_t start = 0; start + blockBytes <= prompt.size(); start += blockBytes) {
        previous = Core::hash64(prompt.substr(start, blockBytes), previous);
        blocks.push_back(previous);
    }
    return blocks;
}

int64_t PrefixCache::match(std::string_view prompt)
{
    int64_t tokens = 0;
    for (uint64_t block : hashBlocks(prompt)) {
        if (!m_blocks.contains(block))
            break;
        touch(block);
        tokens += blockTokens;
    }
    return tokens;
}

void PrefixCache::insert(std::string_view prompt)
{
    for (uint64_t block : hashBlocks(prompt)) {
        if (m_blocks.contains(block)) {
            touch(block);
            continue;
        }
        m_recentlyUsed.push_front(block);
        m_blocks[block] = m_recentlyUsed.begin();
        record(true, block);
    }
    while (static_cast<int64_t>(m_blocks.size() * blockTokens) > m_settings.capacityTokens) {
        uint64_t oldest = m_recentlyUsed.back();
        m_recentlyUsed.pop_back();
        m_blocks.erase(oldest);
        record(false, oldest);
    }
}

void PrefixCache::touch(uint64_t block)
{
    m_recentlyUsed.splice(m_recentlyUsed.begin(), m_recentlyUsed, m_blocks[block]);
}

void PrefixCache::record(bool isStored, uint64_t block)
{
    ++m_lastSequence;
    std::string_view sequenceBytes(reinterpret_cast<const char*>(&m_lastSequence), sizeof(m_lastSequence));
    if (static_cast<int64_t>(Core::hash64(sequenceBytes, m_settings.seed) % 100) < m_settings.gapPercent)
        return;
    m_events.push_back({ m_lastSequence, Core::SteadyClock::now(), isStored, block });
    if (m_events.size() > maxEvents)
        m_events.pop_front();
}

nlohmann::json PrefixCache::eventsAfter(uint64_t sequence, Core::SteadyClock::time_point now) const
{
    nlohmann::json events = nlohmann::json::array();
    uint64_t next = sequence;
    for (const Event& event : m_events) {
        if (event.at + std::chrono::milliseconds(m_settings.eventLagMs) > now)
            break;
        if (event.sequence <= sequence)
            continue;
        char block[17];
        std::snprintf(block, sizeof(block), "%016llx", static_cast<unsigned long long>(event.block));
        events.push_back({ { "sequence", event.sequence }, { "kind", event.isStored ? "stored" : "removed" }, { "block", block } });
        next = event.sequence;
    }
    return { { "events", std::move(events) }, { "next", next } };
}

}
