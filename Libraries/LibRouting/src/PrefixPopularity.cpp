#include "LibRouting/PrefixPopularity.h"

namespace Routing {

// Counts are halved once they sum up to this, so that old requests lose their weight.
static constexpr double halvingTotal = 4096;
static constexpr double smallestTotal = 64;
// Counts below this are dropped when all are halved; prefixes that occurred once or twice need no estimate.
static constexpr double smallestCount = 1;

double PrefixPopularity::record(uint64_t prefixHash)
{
    double& count = m_counts[prefixHash];
    ++count;
    ++m_total;
    double share = count / m_total;
    bool isKnown = m_total >= smallestTotal && count >= 2;
    // Each count is at least 1 half a period after its first request, so there are at most halvingTotal of them.
    if (m_total >= halvingTotal)
        halve();
    return isKnown ? share : 0;
}

void PrefixPopularity::halve()
{
    m_total /= 2;
    for (std::pair<const uint64_t, double>& entry : m_counts)
        entry.second /= 2;
    std::erase_if(m_counts, [](const std::pair<const uint64_t, double>& entry) { return entry.second < smallestCount; });
}

}
