#pragma once

#include "LibLedger/Entry.h"

namespace Ledger {

// One group commit of a shard, the value of a ring slot.
struct Commit {
    // Counts from 1 without gaps.
    uint64_t sequence { 0 };
    Holder writer;
    // Identifies this write, so that a writer recognises its own commit after a lost reply.
    std::string nonce;
    // Wall-clock times in milliseconds since 1970; see ShardState::beginCommit.
    int64_t committedAtMs { 0 };
    int64_t expireBeforeMs { 0 };
    std::vector<Entry> entries;
    bool operator==(const Commit&) const = default;
};

std::string encodeCommit(const Commit&);
// Empty on bytes that are not a valid commit.
std::optional<Commit> decodeCommit(const std::string&);

}
