#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Ledger {

// A 128-bit hash that stands for an identity of any length.
struct IdentityHash {
    uint64_t high { 0 };
    uint64_t low { 0 };
    auto operator<=>(const IdentityHash&) const = default;

    static IdentityHash of(std::string_view identity);
};

// Identities with the time until which they matter and a small counter. Times are rounded up to whole minutes, so
// that identities expire in groups.
class IdentitySet {
public:
    struct Item {
        int64_t minute { 0 };
        uint8_t count { 0 };
        bool operator==(const Item&) const = default;
    };

    // Counts one more occurrence, at most up to 255, and returns the new count.
    uint8_t add(const IdentityHash&, int64_t timeMs);
    bool contains(const IdentityHash& identity) const { return m_items.contains(identity); }
    // Drops the identities whose last occurrence is before the time.
    void expireBefore(int64_t timeMs);
    // The time to pass to expireBefore so that at most this many identities remain, unless more of them share the latest
    // minute. Depends on the items only, so that a restored set gives the same answer.
    int64_t expiryForRoom(size_t most) const;
    size_t size() const { return m_items.size(); }

    // All items, ordered by identity, for the checkpoint.
    std::map<IdentityHash, Item> sorted() const;
    void restore(const IdentityHash&, Item);

    bool operator==(const IdentitySet& other) const { return m_items == other.m_items; }

private:
    struct Hasher {
        size_t operator()(const IdentityHash& identity) const { return identity.low; }
    };

    std::unordered_map<IdentityHash, Item, Hasher> m_items;
    std::map<int64_t, std::vector<IdentityHash>> m_byMinute;
};

}
