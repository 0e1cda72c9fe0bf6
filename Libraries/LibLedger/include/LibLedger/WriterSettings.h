#pragma once

#include "LibLedger/BudgetState.h"
#include <chrono>
#include <functional>

namespace Ledger {

// Timing, limits and callbacks of a shard writer.
struct WriterSettings {
    // Delay before a commit, so that further entries can join it.
    std::chrono::milliseconds groupCommitDelay { 5 };
    // Additional delay before a commit without urgent entries, ended early by an urgent one. Such a commit has only
    // bills, which no caller waits for, and grants of exhausted budgets. Long, since each commit uses one of the
    // platform's few hundred writes per second.
    std::chrono::milliseconds deferredCommitDelay { 1000 };
    // Maximum rate and burst of a shard's commits; 0 disables the limit. Most shards commit bills about once per
    // second. A shard with a nearly exhausted budget needs a higher rate to move the last tokens between daemons: at 3
    // commits/s, requests were refused while tokens waited for a commit.
    double writesPerSecond { 20 };
    int writeBurst { 20 };
    // Timeouts of one call to the platform, and of one commit including its retries.
    std::chrono::milliseconds callTimeout { 2000 };
    std::chrono::milliseconds commitTimeout { 6000 };
    // Delay after the first failed call, doubled for each further one.
    std::chrono::milliseconds initialBackoff { 20 };
    // Number of failed calls after which a commit fails, so that the caller can submit its entries elsewhere.
    int maximumFailedCalls { 4 };
    // How long identities of attempts, requests and claims are kept for deduplication.
    std::chrono::milliseconds identityLifetime { std::chrono::hours(24) };

    // Returns the wall-clock time in milliseconds since 1970. Defaults to the system clock.
    std::function<int64_t()> wallClockMs;
    // Called after a commit that granted less than requested, with the other holders that have unspent grants.
    std::function<void(const BudgetId&, const std::vector<Holder>&)> onRecallNeeded;
};

// Returns whether an entry is committed without the deferred commit delay. A grant of a budget without ungranted tokens
// is not urgent: it can only succeed after a return or a top-up, which are urgent themselves, and retried grant
// requests would use up the writes that these need.
bool isUrgent(const Entry&, const std::map<BudgetId, BudgetState>&);

// Returns whether an entry only adds ungranted tokens. Such entries come first in a commit, so that grants in the same
// commit can use the tokens.
bool addsTokens(const Entry&);

// Returns the other holders with unspent grants if a grant was not fulfilled completely, or an empty list otherwise.
std::vector<Holder> holdersToRecall(const BudgetState&, const Grant&, const EntryResult&);

}
