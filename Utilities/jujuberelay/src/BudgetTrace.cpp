#include "BudgetTrace.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

namespace Measure {

namespace {

struct Shape {
    uint32_t daemons { 8 };
    uint32_t regions { 1 };
    double requestsPerSecond { 0 };
    int seconds { 240 };
    // Callers keep their connections, so that daemons serve a budget unequally (Zipf); otherwise equally.
    bool isSticky { true };
    // The part of the demand that the top-ups cover.
    double covered { 0.85 };
    // Time between top-ups; 0 for a single one at the start.
    int topUpSeconds { 0 };
};

Time second(double value)
{
    return Time {} + std::chrono::duration_cast<Core::SteadyClock::duration>(std::chrono::duration<double>(value));
}

TraceRequest randomRequest(std::mt19937_64& random)
{
    constexpr int millisecondsPerToken = 32;
    TraceRequest request;
    Tokens prompt = static_cast<Tokens>(std::min(4000.0, std::lognormal_distribution<double>(6, 0.8)(random)));
    Tokens largestOutput = 128 << std::uniform_int_distribution<int>(0, 3)(random);
    Tokens output = 1 + static_cast<Tokens>(std::uniform_real_distribution<double>(0.1, 0.8)(random) * static_cast<double>(largestOutput));
    // The bound of the prompt is larger than its count, since it is derived from the bytes.
    request.bound = prompt + prompt / 4 + largestOutput;
    request.used = prompt + output;
    request.duration = std::chrono::milliseconds(200 + output * millisecondsPerToken);
    return request;
}

std::discrete_distribution<uint32_t> daemonWeights(const Shape& shape, std::mt19937_64& random)
{
    std::vector<double> weights(shape.daemons, 1);
    if (shape.isSticky) {
        for (size_t i = 0; i < weights.size(); ++i)
            weights[i] = 1.0 / static_cast<double>(i + 1);
        std::shuffle(weights.begin(), weights.end(), random);
    }
    return std::discrete_distribution<uint32_t>(weights.begin(), weights.end());
}

void addTopUps(const Shape& shape, BudgetTrace& trace)
{
    int interval = shape.topUpSeconds > 0 ? shape.topUpSeconds : shape.seconds;
    for (int start = 0; start < shape.seconds; start += interval) {
        double demand = 0;
        for (const TraceRequest& request : trace.requests) {
            if (request.arrival >= second(start) && request.arrival < second(start + interval))
                demand += static_cast<double>(request.used);
        }
        trace.topUps.push_back({ second(start), static_cast<Tokens>(demand * shape.covered) });
    }
}

BudgetTrace makeTrace(const Shape& shape, std::mt19937_64& random)
{
    BudgetTrace trace;
    trace.daemons = shape.daemons;
    for (uint32_t daemon = 0; daemon < shape.daemons; ++daemon)
        trace.regions.push_back(daemon % shape.regions);
    std::discrete_distribution<uint32_t> weights = daemonWeights(shape, random);
    std::exponential_distribution<double> gap(shape.requestsPerSecond);
    for (double at = gap(random); at < shape.seconds; at += gap(random)) {
        TraceRequest request = randomRequest(random);
        request.arrival = second(at);
        request.daemon = weights(random);
        trace.requests.push_back(request);
    }
    addTopUps(shape, trace);
    trace.end = second(shape.seconds);
    trace.judgedUntil = trace.end;
    return trace;
}

// The time at which the demand has passed a part of the top-ups.
Time demandPasses(const BudgetTrace& trace, double part)
{
    Tokens toppedUp = 0;
    for (const TraceTopUp& topUp : trace.topUps)
        toppedUp += topUp.tokens;
    double demand = 0;
    for (const TraceRequest& request : trace.requests) {
        demand += static_cast<double>(request.used);
        if (demand >= part * static_cast<double>(toppedUp))
            return request.arrival;
    }
    return trace.end;
}

TraceSet mixedWorkspaces(std::mt19937_64& random)
{
    TraceSet set { "few large, many small", {} };
    for (double rate : { 20.0, 12.0, 8.0, 1.0, 0.5, 0.5, 0.5, 0.3, 0.3, 0.3 })
        set.budgets.push_back(makeTrace({ .requestsPerSecond = rate }, random));
    return set;
}

TraceSet lastTenth(std::mt19937_64& random)
{
    TraceSet set { "last tenth of a budget", {} };
    for (int i = 0; i < 6; ++i) {
        BudgetTrace trace = makeTrace({ .requestsPerSecond = 20, .covered = 0.9 }, random);
        trace.judgedFrom = demandPasses(trace, 0.9);
        set.budgets.push_back(trace);
    }
    return set;
}

TraceSet busyEverywhere(std::mt19937_64& random)
{
    TraceSet set { "busy, 370 daemons", {} };
    set.budgets.push_back(makeTrace({ .daemons = 370, .regions = 3, .requestsPerSecond = 300, .seconds = 120, .isSticky = false }, random));
    return set;
}

TraceSet partitioned(const char* name, bool isSticky, std::mt19937_64& random)
{
    TraceSet set { name, {} };
    for (int i = 0; i < 4; ++i) {
        BudgetTrace trace = makeTrace({ .requestsPerSecond = 10, .isSticky = isSticky, .covered = 0.95, .topUpSeconds = 30 }, random);
        trace.partition = TracePartition { second(70), second(160), 3 };
        trace.judgedFrom = trace.partition->from;
        trace.judgedUntil = trace.partition->until;
        set.budgets.push_back(trace);
    }
    return set;
}

}

std::vector<TraceSet> budgetTraces(uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<TraceSet> sets;
    sets.push_back(mixedWorkspaces(random));
    sets.push_back(lastTenth(random));
    sets.push_back(busyEverywhere(random));
    sets.push_back(partitioned("partition, unequal daemons", true, random));
    sets.push_back(partitioned("partition, equal daemons", false, random));
    return sets;
}

}
