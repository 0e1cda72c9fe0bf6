#pragma once

#include "LibBudget/GrantPolicy.h"
#include <chrono>

namespace Budget {

// Settings for waiting requests, grant requests and the return of unspent tokens.
struct AccountSettings {
    // Defaults to defaultGrantPolicy.
    GrantPolicy policy;
    // Maximum time a request waits for tokens, as a fraction of its remaining time and as an absolute limit.
    double maximumWaitFraction { 0.5 };
    std::chrono::milliseconds maximumWait { 10'000 };
    // Timeout of one request to the ledger.
    std::chrono::milliseconds grantTimeout { 4000 };
    // Delay before the grant of an exhausted budget is requested again, doubled up to the maximum.
    std::chrono::milliseconds initialRetryDelay { 25 };
    std::chrono::milliseconds maximumRetryDelay { 400 };
    // How long the ledger's reply that a budget is exhausted applies to further requests.
    std::chrono::milliseconds exhaustedCacheTime { 200 };
    // Unspent grants that have not been used for this time are returned.
    std::chrono::milliseconds grantIdleTimeout { 10'000 };
    // How long a budget is treated as scarce after a recall or a reduced grant.
    std::chrono::milliseconds scarcityDuration { 5000 };
    std::chrono::milliseconds maintenanceInterval { 100 };
    // Minimum size of a prefetched grant, in seconds of recent consumption.
    double minimumPrefetchSeconds { 0.5 };
};

}
