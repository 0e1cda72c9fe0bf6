#pragma once

#include "LibLedger/ShardState.h"

namespace Ledger {

// The value of a shard's base object: the state after the commit with the sequence number.
struct Checkpoint {
    uint64_t sequence { 0 };
    ShardState state;
};

std::string encodeCheckpoint(uint64_t sequence, const ShardState&);
// Empty on bytes that are not a valid checkpoint.
std::optional<Checkpoint> decodeCheckpoint(const std::string&);

}
