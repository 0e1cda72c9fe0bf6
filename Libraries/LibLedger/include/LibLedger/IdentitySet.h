#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Ledger {

// 128-bit hash of an identity of any length.
struct IdentityHash {
    uint64_t high { 0 };
    uint64_t low { 0 };
    auto operator<=>(const IdentityHash&) const = default;

    static IdentityHash of(std::string_view identity);
};

// Set of identity hashes with the time of the last occurrence and an occurrence counter. Times are rounded up to whole
// minutes, so that identities expire in groups.
class IdentitySet {
public:
    struct Item {
        int64_t minute { 0 };
        uint8_t count { 0 };
        bool operator==(const Item&) const = default;
    };

    // Adds an occurrence and returns the new count, which saturates at 255.
    uint8_t add(const IdentityHash&, int64_t timeMs);
    bool contains(const IdentityHash& identity) const { return m_items.contains(identity); }
    // Removes identities whose last occurrence is before the given time.
    void expireBefore(int64_t timeMs);
    // Returns the time to pass to expireBefore so that at most `maximumSize` identities remain, or more if they share
    // the latest minute. Depends only on the items, so that a set restored from a checkpoint returns the same time.
    int64_t expiryForSize(size_t maximumSize) const;
    size_t size() const { return m_items.size(); }

    // Returns all items ordered by identity, for the checkpoint.
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
