#include "LibTelemetry/Metrics.h"

#include <cmath>
#include <criterion/criterion.h>
#include <limits>
#include <stdexcept>

using namespace Telemetry;

// Guards against output that does not conform to the Prometheus text format.
Test(Metrics, exposition)
{
    Metrics metrics;
    metrics.counter("requests_total", "Requests\nby \\ outcome.", { { "outcome", "a \"b\" \\ \n" }, { "model", "m" } }).add(3);
    metrics.gauge("streams", "Streams.").set(-1.5);
    metrics.observe("links", "Links.", [] { return 7.0; });
    Histogram& histogram = metrics.histogram("latency_seconds", "Latency.", { { 0.1, 1 } }, { { "path", "/x" } });
    histogram.observe(0.05);
    histogram.observe(0.5);
    histogram.observe(8);
    const char* expected = "# HELP latency_seconds Latency.\n"
                           "# TYPE latency_seconds histogram\n"
                           "latency_seconds_bucket{path=\"/x\",le=\"0.1\"} 1\n"
                           "latency_seconds_bucket{path=\"/x\",le=\"1\"} 2\n"
                           "latency_seconds_bucket{path=\"/x\",le=\"+Inf\"} 3\n"
                           "latency_seconds_sum{path=\"/x\"} 8.55\n"
                           "latency_seconds_count{path=\"/x\"} 3\n"
                           "# HELP links Links.\n"
                           "# TYPE links gauge\n"
                           "links 7\n"
                           "# HELP requests_total Requests\\nby \\\\ outcome.\n"
                           "# TYPE requests_total counter\n"
                           "requests_total{outcome=\"a \\\"b\\\" \\\\ \\n\",model=\"m\"} 3\n"
                           "# HELP streams Streams.\n"
                           "# TYPE streams gauge\n"
                           "streams -1.5\n";
    cr_assert_eq(metrics.text(), expected, "%s", metrics.text().c_str());
}

// Looking up a metric again must return the existing one, not reset it to 0.
Test(Metrics, sameNameAndLabelsAreOneMetric)
{
    Metrics metrics;
    metrics.counter("c", "", { { "a", "1" } }).add();
    metrics.counter("c", "", { { "a", "2" } }).add(5);
    metrics.counter("c", "", { { "a", "1" } }).add();
    cr_assert_eq(metrics.counter("c", "", { { "a", "1" } }).value(), 2u);
}

// Values equal to a bound belong to the bucket below it, and values outside the bounds must be counted.
Test(Histogram, boundsAreInclusive)
{
    Histogram histogram({ { 0, 1, 2 } });
    double infinity = std::numeric_limits<double>::infinity();
    for (double value : { -infinity, -1.0, 0.0, 0.5, 1.0, 1.5, 2.0, 2.5, infinity, std::nan("") })
        histogram.observe(value);
    std::vector<uint64_t> expected { 3, 5, 7, 9 };
    cr_assert(histogram.cumulativeCounts() == expected);
    Histogram single({ { 5 } });
    single.observe(5);
    single.observe(6);
    expected = { 1, 2 };
    cr_assert(single.cumulativeCounts() == expected);
}

// Invalid names would make the whole output unparsable and must be rejected.
Test(Metrics, invalidNamesAreRejected)
{
    Metrics metrics;
    metrics.counter("taken", "");
    cr_assert_throw(metrics.gauge("taken", ""), std::invalid_argument);
    cr_assert_throw(metrics.counter("1x", ""), std::invalid_argument);
    cr_assert_throw(metrics.counter("a-b", ""), std::invalid_argument);
    cr_assert_throw(metrics.counter("", ""), std::invalid_argument);
    cr_assert_throw(metrics.counter("c", "", { { "a:b", "" } }), std::invalid_argument);
    cr_assert_throw(metrics.histogram("h", "", { { 1 } }, { { "le", "" } }), std::invalid_argument);
    cr_assert_throw(metrics.histogram("h", "", {}), std::invalid_argument);
    cr_assert_throw(metrics.histogram("h", "", { { 2, 1 } }), std::invalid_argument);
    cr_assert_no_throw(metrics.histogram("h", "", HistogramAxis::latencySeconds()), std::invalid_argument);
    cr_assert_no_throw(metrics.histogram("t", "", HistogramAxis::tokens()), std::invalid_argument);
}

// Totals that are kept outside the registry must be exposed as counters, since the rate of a gauge is not meaningful.
Test(Metrics, observedCountersAreCounters)
{
    Metrics metrics;
    uint64_t bytes = 5;
    metrics.observeCounter("bytes_total", "Bytes.", [&bytes] { return bytes; }, { { "direction", "sent" } });
    bytes = 10'000'000;
    cr_assert_eq(metrics.text(), "# HELP bytes_total Bytes.\n# TYPE bytes_total counter\nbytes_total{direction=\"sent\"} 10000000\n");
    cr_assert_throw(metrics.observe("bytes_total", "", [] { return 0.0; }), std::invalid_argument);
}
