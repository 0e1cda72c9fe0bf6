#pragma once

#include "EventQueue.h"
#include "LibLedger/Entry.h"
#include <optional>
#include <string>
#include <vector>

namespace Measure {

using Ledger::Tokens;

// One request of a trace.
struct TraceRequest {
    Time arrival;
    uint32_t daemon { 0 };
    // The upper bound that is held before dispatch, and the actual consumption.
    Tokens bound { 0 };
    Tokens used { 0 };
    std::chrono::milliseconds duration { 0 };
};

struct TraceTopUp {
    Time at;
    Tokens tokens { 0 };
};

// Daemons numbered below `isolatedDaemons` reach neither the platform nor the other daemons during this interval.
struct TracePartition {
    Time from;
    Time until;
    uint32_t isolatedDaemons { 0 };
};

// The requests and top-ups of one budget.
struct BudgetTrace {
    uint32_t daemons { 0 };
    // Region of each daemon; the shard writer is in region 0.
    std::vector<uint32_t> regions;
    std::vector<TraceRequest> requests;
    std::vector<TraceTopUp> topUps;
    std::optional<TracePartition> partition;
    // The measurement window. Requests that arrive outside it consume tokens but are not counted.
    Time measuredFrom;
    Time measuredUntil;
    Time end;
};

// A named set of budgets that are replayed independently and whose counts are added.
struct TraceSet {
    std::string name;
    std::vector<BudgetTrace> budgets;
};

// Generates all traces of the measurement, deterministically for a seed.
std::vector<TraceSet> budgetTraces(uint64_t seed);

}
