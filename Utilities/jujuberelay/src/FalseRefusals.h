#pragma once

#include "BudgetReplay.h"

namespace Measure {

// Counts of the requests in a trace's measurement window. A false refusal is a refused request that the unspent
// tokens of the budget would have covered.
struct RefusalCounts {
    uint64_t requests { 0 };
    uint64_t served { 0 };
    uint64_t falseRefusals { 0 };

    uint64_t satisfiable() const { return served + falseRefusals; }
    double falseRefusalPercent() const { return satisfiable() ? 100.0 * static_cast<double>(falseRefusals) / static_cast<double>(satisfiable()) : 0; }
    void add(const RefusalCounts&);
};

// Evaluates a replay offline, with the unspent tokens of all daemons pooled. The served requests are kept as they ran.
// Then each refused request, in order of arrival, is inserted at the first time within its wait limit at which the
// pooled tokens cover it without taking any from a served or previously inserted request. Each inserted request counts
// as a false refusal. Time is divided into cells of 10 ms.
RefusalCounts countFalseRefusals(const BudgetTrace&, const ReplaySettings&, const ReplayOutcome&);

}
