#include "LibTelemetry/Histogram.h"

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cmath>
#include <limits>
#include <stdexcept>

namespace Telemetry {

namespace histogram = boost::histogram;

using Axis = histogram::axis::variable<double>;

struct Histogram::Counts {
    histogram::histogram<std::tuple<Axis>, histogram::dense_storage<uint64_t>> values;
};

HistogramAxis HistogramAxis::latencySeconds()
{
    return { { 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60 } };
}

HistogramAxis HistogramAxis::tokens()
{
    HistogramAxis axis;
    for (double bound = 1; bound <= 131072; bound *= 2)
        axis.upperBounds.push_back(bound);
    return axis;
}

// Boost.Histogram bins include their lower edge, while Prometheus buckets include their upper bound. Each edge is therefore
// the next representable value above the bound. The infinite edge is added because an axis needs at least one bin.
static Axis makeAxis(const std::vector<double>& bounds)
{
    constexpr double infinity = std::numeric_limits<double>::infinity();
    std::vector<double> edges;
    for (double bound : bounds) {
        double edge = std::nextafter(bound, infinity);
        if (!std::isfinite(edge) || (!edges.empty() && edge <= edges.back()))
            throw std::invalid_argument("histogram bounds must be finite and in ascending order");
        edges.push_back(edge);
    }
    if (edges.empty())
        throw std::invalid_argument("histogram has no bounds");
    edges.push_back(infinity);
    return Axis(edges.begin(), edges.end());
}

Histogram::Histogram(const HistogramAxis& axis)
    : m_axis(axis)
    , m_counts(new Counts { { std::make_tuple(makeAxis(axis.upperBounds)), histogram::dense_storage<uint64_t>() } })
{
}

Histogram::~Histogram() = default;

void Histogram::observe(double value)
{
    if (std::isnan(value))
        return;
    m_counts->values(value);
    m_sum += value;
}

std::vector<uint64_t> Histogram::cumulativeCounts() const
{
    std::vector<uint64_t> counts;
    uint64_t total = 0;
    int size = static_cast<int>(m_axis.upperBounds.size());
    for (int bin = -1; bin < size - 1; ++bin) {
        total += m_counts->values.at(bin);
        counts.push_back(total);
    }
    total += m_counts->values.at(size - 1) + m_counts->values.at(size);
    counts.push_back(total);
    return counts;
}

}
