#pragma once

#include <cstdint>
#include <memory>
#include <vector>

namespace Telemetry {

// The buckets of a histogram: inclusive upper bounds in ascending order. A last bucket without bound is implied.
struct HistogramAxis {
    std::vector<double> upperBounds;
    bool operator==(const HistogramAxis&) const = default;

    // 1 ms to 60 s.
    static HistogramAxis latencySeconds();
    // 1 to 131072 in powers of 2, for tokens of one request.
    static HistogramAxis tokens();
};

// Counts observed values in fixed buckets.
class Histogram {
public:
    // Throws std::invalid_argument when the bounds are empty or not in ascending order.
    explicit Histogram(const HistogramAxis&);
    ~Histogram();
    Histogram(const Histogram&) = delete;
    Histogram& operator=(const Histogram&) = delete;

    // Counts one value. Values that are not numbers are ignored.
    void observe(double value);

    // Number of values at or below each bound of the axis, and of all values as the last item.
    std::vector<uint64_t> cumulativeCounts() const;
    double sum() const { return m_sum; }
    const HistogramAxis& axis() const { return m_axis; }

private:
    struct Counts;
    HistogramAxis m_axis;
    std::unique_ptr<Counts> m_counts;
    double m_sum { 0 };
};

}
