#pragma once

#include "LibCore/Deadline.h"
#include <array>
#include <cstdint>

namespace Routing {

struct RetryBudgetSettings {
    // Allowed retries as a percentage of the requests of the last 10 seconds.
    int percent { 10 };
    // Retries per 10 seconds that are allowed in addition, even without any requests.
    int64_t minRetries { 3 };
};

// Limits retries to a percentage of the recent requests, so that retries do not amplify an overload.
class RetryBudget {
public:
    using TimePoint = Core::SteadyClock::time_point;

    explicit RetryBudget(RetryBudgetSettings);

    void setMinRetries(int64_t retries) { m_settings.minRetries = retries; }
    void recordRequest(TimePoint now);
    // Takes one retry from the budget. Returns false if the budget is exhausted.
    bool takeRetry(TimePoint now);
    // Returns a retry that was taken at this time and not sent.
    void returnRetry(TimePoint takenAt);
    bool isExhausted(TimePoint now) const;

private:
    static constexpr int64_t windowSeconds = 10;

    struct Bucket {
        int64_t number { -1 };
        int64_t requests { 0 };
        int64_t retries { 0 };
    };

    Bucket& bucketAt(TimePoint now);

    RetryBudgetSettings m_settings;
    std::array<Bucket, windowSeconds> m_buckets;
};

}
