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
    // Upper bound held before dispatch, and actual consumption.
    Tokens bound { 0 };
    Tokens used { 0 };
    std::chrono::milliseconds duration { 0 };
};

struct TraceTopUp {
    Time at;
    Tokens tokens { 0 };
};

// The daemons below `cutOff` reach neither the platform nor the other daemons during this time.
struct TracePartition {
    Time from;
    Time until;
    uint32_t cutOff { 0 };
};

// The demand on one budget.
struct BudgetTrace {
    uint32_t daemons { 0 };
    // Region of each daemon; the shard writer is in region 0.
    std::vector<uint32_t> regions;
    std::vector<TraceRequest> requests;
    std::vector<TraceTopUp> topUps;
    std::optional<TracePartition> partition;
    // Only requests that arrive in this time are counted; the others only use tokens.
    Time judgedFrom;
    Time judgedUntil;
    Time end;
};

// A named set of budgets that are replayed on their own and counted together.
struct TraceSet {
    std::string name;
    std::vector<BudgetTrace> budgets;
};

// All traces of the measurement; the same seed gives the same traces.
std::vector<TraceSet> budgetTraces(uint64_t seed);

}
