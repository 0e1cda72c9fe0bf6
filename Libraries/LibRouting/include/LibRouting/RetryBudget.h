#pragma once

#include "LibCore/Deadline.h"
#include <array>
#include <cstdint>

namespace Routing {

struct RetryBudgetSettings {
    // Retries as a share of the requests of the last 10 seconds.
    int percent { 10 };
    // Retries in 10 seconds that are allowed without any requests.
    int64_t minimum { 3 };
};

// Limits retries to a share of the recent requests, so that a failing fleet is not loaded further by retries.
class RetryBudget {
public:
    using TimePoint = Core::SteadyClock::time_point;

    explicit RetryBudget(RetryBudgetSettings);

    // Replaces the retries that are allowed without any requests.
    void setMinimum(int64_t retries) { m_settings.minimum = retries; }
    void recordRequest(TimePoint now);
    // Takes one retry from the budget; false when it is used up.
    bool takeRetry(TimePoint now);

private:
    static constexpr int64_t windowSeconds = 10;

    struct Second {
        int64_t number { -1 };
        int64_t requests { 0 };
        int64_t retries { 0 };
    };

    Second& secondAt(TimePoint now);

    RetryBudgetSettings m_settings;
    std::array<Second, windowSeconds> m_seconds;
};

}
