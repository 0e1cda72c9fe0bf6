#pragma once

#include "LibLedger/Entry.h"

namespace Ledger {

// One group commit of a shard, stored in a ring slot.
struct Commit {
    // Starts at 1 and has no gaps.
    uint64_t sequence { 0 };
    Holder writer;
    // Unique per write, so that a writer can recognise its own commit after a lost reply.
    std::string nonce;
    // Wall-clock times in milliseconds since 1970; see ShardState::beginCommit.
    int64_t committedAtMs { 0 };
    int64_t expireBeforeMs { 0 };
    std::vector<Entry> entries;
    bool operator==(const Commit&) const = default;
};

std::string encodeCommit(const Commit&);
// Returns std::nullopt for bytes that are not a valid commit.
std::optional<Commit> decodeCommit(const std::string&);

}
