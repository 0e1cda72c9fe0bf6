#pragma once

#include "LibLedger/Entry.h"
#include <cstddef>

namespace Ledger {

// Largest number of tokens in one top-up, bill, price or hold. Sums of these stay far from overflow.
constexpr Tokens maximumTokens = 1'000'000'000'000'000;

// Largest cumulative number of a holder, and of a budget's top-ups.
constexpr Tokens maximumCumulativeTokens = 1'000'000'000'000'000'000;

// The platform refuses values over 1 MB; the margin leaves room for the header of a commit.
constexpr size_t maximumValueBytes = 1'000'000;
constexpr size_t maximumCommitEntryBytes = 900'000;

// Longest identity or name in an entry.
constexpr size_t maximumNameBytes = 512;

// Longest stored body of an outcome.
constexpr size_t maximumOutcomeBodyBytes = 2048;

// What a shard remembers, so that its checkpoint stays within the platform's value size: attempts (42 bytes each with
// their requests), finished claims with their stored answers, and the identities of older finished claims (21 bytes
// each). Beyond a limit the oldest are forgotten first, down to three quarters.
constexpr size_t maximumAttempts = 9'000;
constexpr size_t maximumFinishedClaims = 300;
constexpr size_t maximumOutcomeBytes = 120'000;
constexpr size_t maximumFinishedIdentities = 6'000;

// Group commits are written to a ring of slots; a checkpoint must cover a slot before it is overwritten.
constexpr uint64_t ringSlots = 64;
constexpr uint64_t commitsPerCheckpoint = 32;

}
