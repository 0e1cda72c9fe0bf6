#pragma once

#include "LibLedger/BudgetState.h"
#include <chrono>
#include <functional>

namespace Ledger {

// How a shard is written, and hooks.
struct WriterSettings {
    // How long the first waiting entry waits for others to join its commit.
    std::chrono::milliseconds gatherTime { 5 };
    // The same for commits without an urgent entry: bills, for which nobody waits, and grants of budgets that have
    // nothing left. Longer, since each commit is one of the platform's few hundred writes a second.
    std::chrono::milliseconds billGatherTime { 1000 };
    // Highest rate and burst of one shard's commits; 0 means no limit. Most shards commit bills about once a second. A
    // shard whose budget runs out needs more to move the last tokens between daemons: at 3 commits/s, requests were
    // refused while tokens waited for a commit.
    double writesPerSecond { 20 };
    int writeBurst { 20 };
    // Limits one call to the platform and one commit with all its repetitions.
    std::chrono::milliseconds callTimeout { 2000 };
    std::chrono::milliseconds commitTimeout { 6000 };
    // First wait after a failed call; doubled for each further one.
    std::chrono::milliseconds backoff { 20 };
    // Failed calls after which a commit is given up, so that its entries can take another way.
    int failedCalls { 4 };
    // How long identities of attempts, requests and claims are remembered.
    std::chrono::milliseconds identityLifetime { std::chrono::hours(24) };

    // Wall-clock time in milliseconds since 1970. Empty: the system's clock.
    std::function<int64_t()> wallClockMs;
    // Called after a commit in which a grant stayed short, with the holders whose unspent grants could help.
    std::function<void(const BudgetId&, const std::vector<Holder>&)> recallNeeded;
};

// An entry that should not wait for others. A grant of a budget without ungranted tokens can only succeed after a
// return or a top-up, which are urgent themselves; repeated requests would use up the writes that these need.
bool isUrgent(const Entry&, const std::map<BudgetId, BudgetState>&);

// An entry that only adds ungranted tokens. It goes first in a commit, so that the grants behind it find the tokens.
bool addsTokens(const Entry&);

// Holders other than the one that asked whose unspent grants would help it; empty when the grant was not short.
std::vector<Holder> holdersToRecall(const BudgetState&, const Grant&, const EntryResult&);

}
