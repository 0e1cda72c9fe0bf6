#include "LibRouting/RetryBudget.h"

namespace Routing {

RetryBudget::RetryBudget(RetryBudgetSettings settings)
    : m_settings(settings)
{
}

static int64_t secondNumber(RetryBudget::TimePoint now)
{
    return std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
}

RetryBudget::Second& RetryBudget::secondAt(TimePoint now)
{
    int64_t number = secondNumber(now);
    Second& second = m_seconds[static_cast<size_t>(number % windowSeconds)];
    if (second.number != number)
        second = { number, 0, 0 };
    return second;
}

void RetryBudget::recordRequest(TimePoint now)
{
    ++secondAt(now).requests;
}

bool RetryBudget::takeRetry(TimePoint now)
{
    int64_t oldest = secondNumber(now) - windowSeconds + 1;
    int64_t requests = 0;
    int64_t retries = 0;
    for (const Second& second : m_seconds) {
        if (second.number < oldest)
            continue;
        requests += second.requests;
        retries += second.retries;
    }
    if (retries >= m_settings.minimum + requests * m_settings.percent / 100)
        return false;
    ++secondAt(now).retries;
    return true;
}

}
