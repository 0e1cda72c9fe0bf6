#include "LatencyHistogram.h"

#include <algorithm>

namespace Emulator {

// Bins are 0.2% wide, so that differences of 0.05 ms between first-token times of some ms can be measured.
static constexpr unsigned steps = 10000;
static constexpr double smallestUs = 1;
static constexpr double largestUs = 1e9;

LatencyHistogram::LatencyHistogram()
    : m_histogram(boost::histogram::make_histogram(Axis(steps, smallestUs, largestUs)))
{
}

void LatencyHistogram::add(std::chrono::steady_clock::duration duration)
{
    double us = std::chrono::duration<double, std::micro>(duration).count();
    m_histogram(us);
    m_maxUs = std::max(m_maxUs, us);
    ++m_count;
}

double LatencyHistogram::quantileMs(double share) const
{
    double wanted = share * static_cast<double>(m_count);
    // Index -1 holds the times below the smallest one.
    double seen = m_histogram.at(-1);
    if (seen >= wanted)
        return 0;
    for (int index = 0; index < static_cast<int>(steps); ++index) {
        seen += m_histogram.at(index);
        if (seen >= wanted)
            return std::min(m_histogram.axis().bin(index).upper(), m_maxUs) / 1000;
    }
    return m_maxUs / 1000;
}

LatencySummary LatencyHistogram::summary() const
{
    if (m_count == 0)
        return {};
    return { quantileMs(0.5), quantileMs(0.95), quantileMs(0.99), m_maxUs / 1000 };
}

}
