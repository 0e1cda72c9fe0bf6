#include "LibRouting/PrefixPopularity.h"

namespace Routing {

// All counts are halved when their sum reaches this value, so that old requests lose weight.
static constexpr double decayThreshold = 4096;
static constexpr double minTotalForEstimate = 64;
// Counts below this are dropped after halving, since rare prefixes need no estimate.
static constexpr double minRetainedCount = 1;

double PrefixPopularity::record(uint64_t prefixHash)
{
    double& count = m_counts[prefixHash];
    ++count;
    ++m_total;
    double share = count / m_total;
    bool isKnown = m_total >= minTotalForEstimate && count >= 2;
    // Halving drops all counts below 1, so there are never more than decayThreshold entries.
    if (m_total >= decayThreshold)
        decay();
    return isKnown ? share : 0;
}

void PrefixPopularity::decay()
{
    m_total /= 2;
    for (std::pair<const uint64_t, double>& entry : m_counts)
        entry.second /= 2;
    std::erase_if(m_counts, [](const std::pair<const uint64_t, double>& entry) { return entry.second < minRetainedCount; });
}

}
