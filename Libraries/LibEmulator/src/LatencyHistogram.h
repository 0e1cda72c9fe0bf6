#pragma once

#include "LibEmulator/LoadResult.h"
#include <boost/histogram.hpp>
#include <chrono>

namespace Emulator {

// Counts times from 1 microsecond to 1,000 seconds in steps of about 2%.
class LatencyHistogram {
public:
    LatencyHistogram();

    void add(std::chrono::steady_clock::duration);
    LatencySummary summary() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

    // The upper limit in milliseconds of the step that holds the share of all times.
    double quantileMs(double share) const;

    Histogram m_histogram;
    int64_t m_count { 0 };
    double m_maxUs { 0 };
};

}
