#include "LibTelemetry/Metrics.h"

#include <array>
#include <charconv>
#include <cmath>
#include <stdexcept>

namespace Telemetry {

static bool isValidFirstCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') || character == '_';
}

static bool isValidName(const std::string& name, bool allowsColon)
{
    for (size_t i = 0; i < name.size(); ++i) {
        bool isDigit = name[i] >= '0' && name[i] <= '9';
        bool isAllowed = isValidFirstCharacter(name[i]) || (allowsColon && name[i] == ':') || (i > 0 && isDigit);
        if (!isAllowed)
            return false;
    }
    return !name.empty();
}

static std::string escape(const std::string& text, bool escapesQuotes)
{
    std::string result;
    for (char character : text) {
        if (character == '\n') {
            result += "\\n";
            continue;
        }
        if (character == '\\' || (escapesQuotes && character == '"'))
            result += '\\';
        result += character;
    }
    return result;
}

static std::string formatNumber(double value)
{
    if (std::isnan(value))
        return "NaN";
    if (std::isinf(value))
        return value > 0 ? "+Inf" : "-Inf";
    std::array<char, 32> buffer;
    std::to_chars_result result = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return std::string(buffer.data(), result.ptr);
}

static void appendSample(std::string& text, const std::string& name, const Labels& labels, const std::string& value)
{
    text += name;
    for (size_t i = 0; i < labels.size(); ++i)
        text += (i == 0 ? "{" : ",") + labels[i].name + "=\"" + escape(labels[i].value, true) + "\"";
    if (!labels.empty())
        text += "}";
    text += " " + value + "\n";
}

static void appendHistogram(std::string& text, const std::string& name, const Labels& labels, const Histogram& histogram)
{
    std::vector<uint64_t> counts = histogram.cumulativeCounts();
    const std::vector<double>& bounds = histogram.axis().upperBounds;
    for (size_t i = 0; i < counts.size(); ++i) {
        Labels bucketLabels = labels;
        bucketLabels.push_back({ "le", i < bounds.size() ? formatNumber(bounds[i]) : "+Inf" });
        appendSample(text, name + "_bucket", bucketLabels, std::to_string(counts[i]));
    }
    appendSample(text, name + "_sum", labels, formatNumber(histogram.sum()));
    appendSample(text, name + "_count", labels, std::to_string(counts.back()));
}

Metrics::Family& Metrics::family(const std::string& name, const std::string& help, Type type, const Labels& labels)
{
    if (!isValidName(name, true))
        throw std::invalid_argument("\"" + name + "\" is not a valid metric name");
    for (const Label& label : labels) {
        bool isReserved = label.name.starts_with("__") || (type == Type::Histogram && label.name == "le");
        if (!isValidName(label.name, false) || isReserved)
            throw std::invalid_argument("\"" + label.name + "\" is not a valid label name");
    }
    auto [position, isNew] = m_families.try_emplace(name, Family { type, help, {}, {}, {}, {}, {} });
    if (position->second.type != type)
        throw std::invalid_argument("metric " + name + " is already registered with another type");
    return position->second;
}

template <typename Map, typename... Arguments>
static auto& findOrCreate(Map& metrics, const Labels& labels, const Arguments&... arguments)
{
    auto position = metrics.find(labels);
    if (position == metrics.end()) {
        using Metric = typename Map::mapped_type::element_type;
        position = metrics.emplace(labels, std::make_unique<Metric>(arguments...)).first;
    }
    return *position->second;
}

Counter& Metrics::counter(const std::string& name, const std::string& help, const Labels& labels)
{
    return findOrCreate(family(name, help, Type::Counter, labels).counters, labels);
}

Gauge& Metrics::gauge(const std::string& name, const std::string& help, const Labels& labels)
{
    return findOrCreate(family(name, help, Type::Gauge, labels).gauges, labels);
}

Histogram& Metrics::histogram(const std::string& name, const std::string& help, const HistogramAxis& axis, const Labels& labels)
{
    return findOrCreate(family(name, help, Type::Histogram, labels).histograms, labels, axis);
}

void Metrics::observe(const std::string& name, const std::string& help, std::function<double()> read, const Labels& labels)
{
    family(name, help, Type::Gauge, labels).observedGauges[labels] = std::move(read);
}

void Metrics::observeCounter(const std::string& name, const std::string& help, std::function<uint64_t()> read, const Labels& labels)
{
    family(name, help, Type::Counter, labels).observedCounters[labels] = std::move(read);
}

void Metrics::appendSamples(std::string& text, const std::string& name, const Family& family)
{
    for (const auto& [labels, counter] : family.counters) {
        // An observed counter replaces a counter with the same labels.
        if (!family.observedCounters.contains(labels))
            appendSample(text, name, labels, std::to_string(counter->value()));
    }
    for (const auto& [labels, read] : family.observedCounters)
        appendSample(text, name, labels, std::to_string(read()));
    for (const auto& [labels, gauge] : family.gauges) {
        // An observed gauge replaces a gauge with the same labels.
        if (!family.observedGauges.contains(labels))
            appendSample(text, name, labels, formatNumber(gauge->value()));
    }
    for (const auto& [labels, read] : family.observedGauges)
        appendSample(text, name, labels, formatNumber(read()));
    for (const auto& [labels, histogram] : family.histograms)
        appendHistogram(text, name, labels, *histogram);
}

std::string Metrics::text() const
{
    static constexpr const char* typeNames[] = { "counter", "gauge", "histogram" };
    std::string text;
    for (const auto& [name, family] : m_families) {
        text += "# HELP " + name + " " + escape(family.help, false) + "\n";
        text += "# TYPE " + name + " " + typeNames[static_cast<int>(family.type)] + "\n";
        appendSamples(text, name, family);
    }
    return text;
}

}
