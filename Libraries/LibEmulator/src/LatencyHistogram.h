#pragma once

#include "LibEmulator/LoadResult.h"
#include <boost/histogram.hpp>
#include <chrono>

namespace Emulator {

// Logarithmic histogram of times from 1 us to 1,000 s with bins about 0.2% wide.
class LatencyHistogram {
public:
    LatencyHistogram();

    void add(std::chrono::steady_clock::duration);
    LatencySummary summary() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

    // Returns the upper bound in milliseconds of the bin that contains the quantile.
    double quantileMs(double quantile) const;

    Histogram m_histogram;
    int64_t m_count { 0 };
    double m_maxUs { 0 };
};

}
