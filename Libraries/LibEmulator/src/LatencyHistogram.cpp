#include "LatencyHistogram.h"

#include <algorithm>

namespace Emulator {

// Yields bins 0.2% wide, which resolves differences of 0.05 ms between first-token times of several milliseconds.
static constexpr unsigned binCount = 10000;
static constexpr double lowerBoundUs = 1;
static constexpr double upperBoundUs = 1e9;

LatencyHistogram::LatencyHistogram()
    : m_histogram(boost::histogram::make_histogram(Axis(binCount, lowerBoundUs, upperBoundUs)))
{
}

void LatencyHistogram::add(std::chrono::steady_clock::duration duration)
{
    double us = std::chrono::duration<double, std::micro>(duration).count();
    m_histogram(us);
    m_maxUs = std::max(m_maxUs, us);
    ++m_count;
}

double LatencyHistogram::quantileMs(double quantile) const
{
    double targetCount = quantile * static_cast<double>(m_count);
    // Index -1 is the underflow bin.
    double cumulativeCount = m_histogram.at(-1);
    if (cumulativeCount >= targetCount)
        return 0;
    for (int index = 0; index < static_cast<int>(binCount); ++index) {
        cumulativeCount += m_histogram.at(index);
        if (cumulativeCount >= targetCount)
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
