#include "LibLedger/IdentitySet.h"

#include "LibCore/Hash.h"
#include <algorithm>

namespace Ledger {

static constexpr int64_t millisecondsPerMinute = 60'000;

IdentityHash IdentityHash::of(std::string_view identity)
{
    return { Core::hash64(identity, 1), Core::hash64(identity, 2) };
}

uint8_t IdentitySet::add(const IdentityHash& identity, int64_t timeMs)
{
    int64_t minute = timeMs / millisecondsPerMinute + 1;
    Item& item = m_items[identity];
    if (item.count < UINT8_MAX)
        ++item.count;
    if (minute > item.minute) {
        item.minute = minute;
        m_byMinute[minute].push_back(identity);
    }
    return item.count;
}

void IdentitySet::expireBefore(int64_t timeMs)
{
    int64_t cutoffMinute = timeMs / millisecondsPerMinute;
    while (!m_byMinute.empty() && m_byMinute.begin()->first < cutoffMinute) {
        for (const IdentityHash& identity : m_byMinute.begin()->second) {
            std::unordered_map<IdentityHash, Item, Hasher>::iterator item = m_items.find(identity);
            // Identities with a later occurrence are also in a later group.
            if (item != m_items.end() && item->second.minute < cutoffMinute)
                m_items.erase(item);
        }
        m_byMinute.erase(m_byMinute.begin());
    }
}

int64_t IdentitySet::expiryForSize(size_t maximumSize) const
{
    std::map<int64_t, size_t> byMinute;
    for (const std::pair<const IdentityHash, Item>& item : m_items)
        ++byMinute[item.second.minute];
    size_t remaining = m_items.size();
    int64_t cutoffMinute = 0;
    for (const std::pair<const int64_t, size_t>& group : byMinute) {
        if (remaining <= maximumSize || group.first == byMinute.rbegin()->first)
            break;
        remaining -= group.second;
        cutoffMinute = group.first + 1;
    }
    return cutoffMinute * millisecondsPerMinute;
}

std::map<IdentityHash, IdentitySet::Item> IdentitySet::sorted() const
{
    return std::map<IdentityHash, Item>(m_items.begin(), m_items.end());
}

void IdentitySet::restore(const IdentityHash& identity, Item item)
{
    m_items[identity] = item;
    m_byMinute[item.minute].push_back(identity);
}

}
