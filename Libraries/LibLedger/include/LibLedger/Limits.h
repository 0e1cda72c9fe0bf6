#pragma once

#include "LibLedger/Entry.h"
#include <cstddef>

namespace Ledger {

// Maximum number of tokens in one top-up, bill, price or hold. Keeps sums far from overflow.
constexpr Tokens maximumTokens = 1'000'000'000'000'000;

// Maximum cumulative value of a holder, and of a budget's top-ups.
constexpr Tokens maximumCumulativeTokens = 1'000'000'000'000'000'000;

// The platform rejects values over 1 MB. The entries of a commit have a lower limit, to leave room for its header.
constexpr size_t maximumValueBytes = 1'000'000;
constexpr size_t maximumCommitEntryBytes = 900'000;

// Maximum length of an identity or name in an entry.
constexpr size_t maximumNameBytes = 512;

// Maximum length of the stored body of an outcome.
constexpr size_t maximumOutcomeBodyBytes = 2048;

// Retention limits that keep a shard's checkpoint within the platform's value size: attempts (42 bytes each, including
// the request), finished claims, the total size of their outcomes, and identities of evicted finished claims (21 bytes
// each). When a limit is exceeded, the oldest are evicted first; attempts and evicted claims down to three quarters.
constexpr size_t maximumAttempts = 9'000;
constexpr size_t maximumFinishedClaims = 300;
constexpr size_t maximumOutcomeBytes = 120'000;
constexpr size_t maximumEvictedClaims = 6'000;

// Group commits are written to a ring buffer of slots. A checkpoint must cover a slot before it is overwritten.
constexpr uint64_t ringSlots = 64;
constexpr uint64_t commitsPerCheckpoint = 32;

}
