#pragma once

#include "LibTelemetry/Histogram.h"
#include <compare>
#include <functional>
#include <map>
#include <string>

namespace Telemetry {

struct Label {
    std::string name;
    std::string value;
    auto operator<=>(const Label&) const = default;
};

using Labels = std::vector<Label>;

// A monotonically increasing value.
class Counter {
public:
    void add(uint64_t amount = 1) { m_value += amount; }
    uint64_t value() const { return m_value; }

private:
    uint64_t m_value { 0 };
};

// A value that can increase and decrease.
class Gauge {
public:
    void set(double value) { m_value = value; }
    void add(double amount) { m_value += amount; }
    double value() const { return m_value; }

private:
    double m_value { 0 };
};

// The metrics registry of a process. A metric is created on first use, and the returned reference is valid for the lifetime
// of the registry. The functions that create metrics throw std::invalid_argument for names that Prometheus does not allow
// and for names that are already used by a metric of another type.
class Metrics {
public:
    Counter& counter(const std::string& name, const std::string& help, const Labels& = {});
    Gauge& gauge(const std::string& name, const std::string& help, const Labels& = {});
    Histogram& histogram(const std::string& name, const std::string& help, const HistogramAxis&, const Labels& = {});

    // Registers a gauge whose value is read on each scrape.
    void observe(const std::string& name, const std::string& help, std::function<double()>, const Labels& = {});

    // Registers a counter whose value is read on each scrape. The value must not decrease.
    void observeCounter(const std::string& name, const std::string& help, std::function<uint64_t()>, const Labels& = {});

    // Returns the metrics in the Prometheus text exposition format, version 0.0.4.
    std::string text() const;
    static constexpr const char* contentType = "text/plain; version=0.0.4; charset=utf-8";

private:
    enum class Type {
        Counter,
        Gauge,
        Histogram,
    };

    struct Family {
        Type type;
        std::string help;
        std::map<Labels, std::unique_ptr<Counter>> counters;
        std::map<Labels, std::unique_ptr<Gauge>> gauges;
        std::map<Labels, std::unique_ptr<Histogram>> histograms;
        std::map<Labels, std::function<double()>> observedGauges;
        std::map<Labels, std::function<uint64_t()>> observedCounters;
    };

    Family& family(const std::string& name, const std::string& help, Type, const Labels&);
    static void appendSamples(std::string& text, const std::string& name, const Family&);

    std::map<std::string, Family> m_families;
};

}
