#pragma once

#include "LibBudget/GrantPolicy.h"
#include <chrono>

namespace Budget {

// How requests wait for tokens, and when unspent tokens go back.
struct AccountSettings {
    // Empty: defaultGrantPolicy.
    GrantPolicy policy;
    // The part of a request's remaining time that it may wait for tokens, and the longest such wait.
    double waitShare { 0.5 };
    std::chrono::milliseconds longestWait { 10'000 };
    // Limits one grant request to the ledger.
    std::chrono::milliseconds grantTimeout { 4000 };
    // First wait before a budget without tokens is asked for again; doubled up to the longest.
    std::chrono::milliseconds shortestRetry { 25 };
    std::chrono::milliseconds longestRetry { 400 };
    // How long the ledger's answer that nothing is left holds for further requests.
    std::chrono::milliseconds exhaustedLifetime { 200 };
    // Unspent grants without use for this time go back.
    std::chrono::milliseconds grantIdle { 10'000 };
    // How long a budget counts as scarce after a recall.
    std::chrono::milliseconds scarceTime { 5000 };
    // Interval of the maintenance task.
    std::chrono::milliseconds tick { 100 };
    // Smallest amount that is asked for ahead, in seconds of recent consumption.
    double prefetchSeconds { 0.5 };
};

}
