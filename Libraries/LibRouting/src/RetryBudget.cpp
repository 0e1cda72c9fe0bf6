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

RetryBudget::Bucket& RetryBudget::bucketAt(TimePoint now)
{
    int64_t number = secondNumber(now);
    Bucket& bucket = m_buckets[static_cast<size_t>(number % windowSeconds)];
    if (bucket.number != number)
        bucket = { number, 0, 0 };
    return bucket;
}

void RetryBudget::recordRequest(TimePoint now)
{
    ++bucketAt(now).requests;
}

bool RetryBudget::isExhausted(TimePoint now) const
{
    int64_t oldest = secondNumber(now) - windowSeconds + 1;
    int64_t requests = 0;
    int64_t retries = 0;
    for (const Bucket& bucket : m_buckets) {
        if (bucket.number < oldest)
            continue;
        requests += bucket.requests;
        retries += bucket.retries;
    }
    return retries >= m_settings.minRetries + requests * m_settings.percent / 100;
}

bool RetryBudget::takeRetry(TimePoint now)
{
    if (isExhausted(now))
        return false;
    ++bucketAt(now).retries;
    return true;
}

void RetryBudget::returnRetry(TimePoint takenAt)
{
    int64_t number = secondNumber(takenAt);
    Bucket& bucket = m_buckets[static_cast<size_t>(number % windowSeconds)];
    if (bucket.number == number && bucket.retries > 0)
        --bucket.retries;
}

}
