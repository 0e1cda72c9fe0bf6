#pragma once

#include <cstdint>
#include <memory>
#include <vector>

namespace Telemetry {

// The buckets of a histogram as inclusive upper bounds in ascending order. The +Inf bucket is implicit.
struct HistogramAxis {
    std::vector<double> upperBounds;
    bool operator==(const HistogramAxis&) const = default;

    // 1 ms to 60 s.
    static HistogramAxis latencySeconds();
    // Powers of 2 from 1 to 131072, for the tokens of one request.
    static HistogramAxis tokens();
};

class Histogram {
public:
    // Throws std::invalid_argument if the bounds are empty, not finite or not in ascending order.
    explicit Histogram(const HistogramAxis&);
    ~Histogram();
    Histogram(const Histogram&) = delete;
    Histogram& operator=(const Histogram&) = delete;

    // Adds one value. NaN is ignored.
    void observe(double value);

    // Returns the number of values less than or equal to each upper bound, followed by the total number of values.
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
