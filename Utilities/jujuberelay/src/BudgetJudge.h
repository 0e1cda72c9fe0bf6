#pragma once

#include "BudgetReplay.h"

namespace Measure {

// How many of the counted requests a replay served, and how many it refused although the budget covered them.
struct Judgement {
    uint64_t requests { 0 };
    uint64_t served { 0 };
    uint64_t falseRefusals { 0 };

    uint64_t coverable() const { return served + falseRefusals; }
    double percent() const { return coverable() ? 100.0 * static_cast<double>(falseRefusals) / static_cast<double>(coverable()) : 0; }
    void add(const Judgement&);
};

// Judges a replay with full knowledge of where the tokens were at each moment. What was served stays as it was; then
// each refused request, in order of arrival, is added to the history if at some moment of its waiting time all
// unspent tokens together cover it without taking any from a request that was served or added. Each one added is a
// false refusal. Tokens are compared on a grid of 10 ms.
Judgement judge(const BudgetTrace&, const ReplaySettings&, const ReplayOutcome&);

}
