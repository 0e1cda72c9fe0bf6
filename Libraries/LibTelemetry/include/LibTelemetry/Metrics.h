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

// A number that only grows.
class Counter {
public:
    void add(uint64_t amount = 1) { m_value += amount; }
    uint64_t value() const { return m_value; }

private:
    uint64_t m_value { 0 };
};

// A number that grows and shrinks.
class Gauge {
public:
    void set(double value) { m_value = value; }
    void add(double amount) { m_value += amount; }
    double value() const { return m_value; }

private:
    double m_value { 0 };
};

// The metrics of one process. A metric is made at its first use; the reference stays valid as long as the registry. The
// functions that make one throw std::invalid_argument for a name that Prometheus does not allow, or one that is in use
// for a metric of another type.
class Metrics {
public:
    Counter& counter(const std::string& name, const std::string& help, const Labels& = {});
    Gauge& gauge(const std::string& name, const std::string& help, const Labels& = {});
    Histogram& histogram(const std::string& name, const std::string& help, const HistogramAxis&, const Labels& = {});

    // A gauge whose value is read when the metrics are shown.
    void observe(const std::string& name, const std::string& help, std::function<double()>, const Labels& = {});

    // A counter whose value is read when the metrics are shown; it must never shrink.
    void observeCounter(const std::string& name, const std::string& help, std::function<uint64_t()>, const Labels& = {});

    // Prometheus text exposition, version 0.0.4.
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
        std::map<Labels, std::function<double()>> observed;
        std::map<Labels, std::function<uint64_t()>> observedCounters;
    };

    Family& family(const std::string& name, const std::string& help, Type, const Labels&);
    static void addSamples(std::string& text, const std::string& name, const Family&);

    std::map<std::string, Family> m_families;
};

}
