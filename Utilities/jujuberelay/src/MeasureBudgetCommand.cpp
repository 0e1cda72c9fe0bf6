#include "CentralCounterReplay.h"
#include "Commands.h"
#include "EscrowReplay.h"
#include "FalseRefusals.h"
#include "FixedSplitReplay.h"
#include <cinttypes>
#include <cstdio>
#include <gflags/gflags.h>

DEFINE_uint64(budget_seed, 1, "measure budget: seed of the traces");

namespace Commands {

namespace {

using namespace Measure;

enum class Method {
    Escrow,
    FixedSplit,
    CentralCounter,
};

const char* nameOf(Method method)
{
    switch (method) {
    case Method::Escrow:
        return "grants";
    case Method::FixedSplit:
        return "fixed split";
    case Method::CentralCounter:
        return "central counter";
    }
    return "";
}

// Result of one method on one set of traces with the settings of one user organisation.
struct MethodResult {
    RefusalCounts counts;
    Tokens overspend { 0 };
    uint64_t violations { 0 };
};

ReplaySettings laurentide()
{
    ReplaySettings settings;
    settings.name = "laurentide";
    settings.delayInRegion = std::chrono::microseconds(1500);
    settings.platformWrite = std::chrono::microseconds(6000);
    settings.account.maximumWaitFraction = 0.1;
    return settings;
}

ReplaySettings bundleAndPass()
{
    ReplaySettings settings;
    settings.name = "bundle-and-pass";
    settings.delayInRegion = std::chrono::microseconds(250);
    settings.platformWrite = std::chrono::microseconds(5000);
    settings.account.maximumWaitFraction = 0.5;
    return settings;
}

ReplayOutcome replay(Method method, const BudgetTrace& trace, const ReplaySettings& settings)
{
    switch (method) {
    case Method::Escrow:
        return EscrowReplay(trace, settings, FLAGS_budget_seed).run();
    case Method::FixedSplit:
        return FixedSplitReplay(trace, settings).run();
    case Method::CentralCounter:
        return CentralCounterReplay(trace, settings).run();
    }
    return {};
}

MethodResult measureMethod(Method method, const TraceSet& set, const ReplaySettings& settings)
{
    MethodResult result;
    for (const BudgetTrace& trace : set.budgets) {
        ReplayOutcome outcome = replay(method, trace, settings);
        result.counts.add(countFalseRefusals(trace, settings, outcome));
        result.overspend += outcome.overspend;
        result.violations += outcome.violations;
    }
    return result;
}

void printCells(const MethodResult& result)
{
    std::printf(" | %8" PRIu64 " | %8" PRIu64 " | %6" PRIu64 " | %7.3f | %9" PRId64, result.counts.requests, result.counts.satisfiable(),
        result.counts.falseRefusals, result.counts.falseRefusalPercent(), result.overspend);
}

}

int measureBudget(const Arguments&)
{
    std::printf("seed %" PRIu64 "; columns: requests, satisfiable requests, false refusals, false refusals in percent of satisfiable requests, overspend in tokens\n\n", FLAGS_budget_seed);
    std::printf("| %-27s | %-15s | laurentide | | | | | bundle-and-pass | | | | |\n", "trace", "method");
    std::printf("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    uint64_t violations = 0;
    Tokens overspend = 0;
    for (const TraceSet& set : budgetTraces(FLAGS_budget_seed)) {
        for (Method method : { Method::Escrow, Method::FixedSplit, Method::CentralCounter }) {
            std::printf("| %-27s | %-15s", set.name.c_str(), nameOf(method));
            for (const ReplaySettings& settings : { laurentide(), bundleAndPass() }) {
                MethodResult result = measureMethod(method, set, settings);
                printCells(result);
                violations += result.violations;
                overspend += result.overspend;
            }
            std::printf(" |\n");
            std::fflush(stdout);
        }
    }
    std::printf("\nledger invariant violations and refused bills: %" PRIu64 "\n", violations);
    return violations == 0 && overspend == 0 ? Success : Violation;
}

}
