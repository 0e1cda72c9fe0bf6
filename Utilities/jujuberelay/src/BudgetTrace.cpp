#include "BudgetTrace.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

namespace Measure {

namespace {

struct TraceParameters {
    uint32_t daemons { 8 };
    uint32_t regions { 1 };
    double requestsPerSecond { 0 };
    int seconds { 240 };
    // Callers keep their connections, so the load is distributed over the daemons by Zipf's law; otherwise evenly.
    bool isSticky { true };
    // The fraction of the demand that the top-ups cover.
    double topUpShare { 0.85 };
    // Time between top-ups; 0 for a single one at the start.
    int topUpSeconds { 0 };
};

Time atSecond(double value)
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
    // The bound of the prompt exceeds its token count, because it is derived from the size in bytes.
    request.bound = prompt + prompt / 4 + largestOutput;
    request.used = prompt + output;
    request.duration = std::chrono::milliseconds(200 + output * millisecondsPerToken);
    return request;
}

std::discrete_distribution<uint32_t> daemonWeights(const TraceParameters& parameters, std::mt19937_64& random)
{
    std::vector<double> weights(parameters.daemons, 1);
    if (parameters.isSticky) {
        for (size_t i = 0; i < weights.size(); ++i)
            weights[i] = 1.0 / static_cast<double>(i + 1);
        std::shuffle(weights.begin(), weights.end(), random);
    }
    return std::discrete_distribution<uint32_t>(weights.begin(), weights.end());
}

void addTopUps(const TraceParameters& parameters, BudgetTrace& trace)
{
    int interval = parameters.topUpSeconds > 0 ? parameters.topUpSeconds : parameters.seconds;
    for (int start = 0; start < parameters.seconds; start += interval) {
        double demand = 0;
        for (const TraceRequest& request : trace.requests) {
            if (request.arrival >= atSecond(start) && request.arrival < atSecond(start + interval))
                demand += static_cast<double>(request.used);
        }
        trace.topUps.push_back({ atSecond(start), static_cast<Tokens>(demand * parameters.topUpShare) });
    }
}

BudgetTrace makeTrace(const TraceParameters& parameters, std::mt19937_64& random)
{
    BudgetTrace trace;
    trace.daemons = parameters.daemons;
    for (uint32_t daemon = 0; daemon < parameters.daemons; ++daemon)
        trace.regions.push_back(daemon % parameters.regions);
    std::discrete_distribution<uint32_t> weights = daemonWeights(parameters, random);
    std::exponential_distribution<double> gap(parameters.requestsPerSecond);
    for (double at = gap(random); at < parameters.seconds; at += gap(random)) {
        TraceRequest request = randomRequest(random);
        request.arrival = atSecond(at);
        request.daemon = weights(random);
        trace.requests.push_back(request);
    }
    addTopUps(parameters, trace);
    trace.end = atSecond(parameters.seconds);
    trace.measuredUntil = trace.end;
    return trace;
}

// Returns the time at which the cumulative demand reaches the given fraction of all top-ups.
Time timeWhenDemandReaches(const BudgetTrace& trace, double fraction)
{
    Tokens toppedUp = 0;
    for (const TraceTopUp& topUp : trace.topUps)
        toppedUp += topUp.tokens;
    double demand = 0;
    for (const TraceRequest& request : trace.requests) {
        demand += static_cast<double>(request.used);
        if (demand >= fraction * static_cast<double>(toppedUp))
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

TraceSet nearlySpentBudget(std::mt19937_64& random)
{
    TraceSet set { "last tenth of a budget", {} };
    for (int i = 0; i < 6; ++i) {
        BudgetTrace trace = makeTrace({ .requestsPerSecond = 20, .topUpShare = 0.9 }, random);
        trace.measuredFrom = timeWhenDemandReaches(trace, 0.9);
        set.budgets.push_back(trace);
    }
    return set;
}

TraceSet highRateOnManyDaemons(std::mt19937_64& random)
{
    TraceSet set { "busy, 370 daemons", {} };
    set.budgets.push_back(makeTrace({ .daemons = 370, .regions = 3, .requestsPerSecond = 300, .seconds = 120, .isSticky = false }, random));
    return set;
}

TraceSet partitionedFleet(const char* name, bool isSticky, std::mt19937_64& random)
{
    TraceSet set { name, {} };
    for (int i = 0; i < 4; ++i) {
        BudgetTrace trace = makeTrace({ .requestsPerSecond = 10, .isSticky = isSticky, .topUpShare = 0.95, .topUpSeconds = 30 }, random);
        trace.partition = TracePartition { atSecond(70), atSecond(160), 3 };
        trace.measuredFrom = trace.partition->from;
        trace.measuredUntil = trace.partition->until;
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
    sets.push_back(nearlySpentBudget(random));
    sets.push_back(highRateOnManyDaemons(random));
    sets.push_back(partitionedFleet("partition, unequal daemons", true, random));
    sets.push_back(partitionedFleet("partition, equal daemons", false, random));
    return sets;
}

}
