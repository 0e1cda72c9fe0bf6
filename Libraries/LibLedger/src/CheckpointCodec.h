#pragma once

#include "LibLedger/ShardState.h"

namespace Ledger {

// Value of a shard's "base" object: the state after the commit with the given sequence number.
struct Checkpoint {
    uint64_t sequence { 0 };
    ShardState state;
};

std::string encodeCheckpoint(uint64_t sequence, const ShardState&);
// Returns std::nullopt for bytes that are not a valid checkpoint.
std::optional<Checkpoint> decodeCheckpoint(const std::string&);

}
