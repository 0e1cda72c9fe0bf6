#include "Commands.h"

#include "RoutingReplay.h"
#include <cstdio>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

DECLARE_string(output);
DECLARE_uint64(seed);
DEFINE_int64(replay_requests, 40000, "measure routing: requests of each replay");
DEFINE_int64(replay_routers, 32, "measure routing: routers that share the endpoints");
DEFINE_int64(replay_endpoints, 48, "measure routing: endpoints");
DEFINE_int64(replay_slots, 8, "measure routing: slots of each endpoint");
DEFINE_int64(replay_report_period_ms, 500, "measure routing: time between two load reports of an endpoint");
DEFINE_int64(replay_report_lag_ms, 250, "measure routing: age of a load report when it reaches the routers");
DEFINE_int64(replay_load_bound_percent, 125, "measure routing: load bound of an endpoint in percent of the mean load");
DEFINE_int64(replay_smallest_spread, 2, "measure routing: smallest number of endpoints that serve a prefix");
DEFINE_int64(replay_spread_factor, 32, "measure routing: number of endpoints that serve a prefix, as a multiple of its share of the requests");
DEFINE_int64(replay_known_routers, 0, "measure routing: number of routers that the routers assume; 0 for the actual number");
DEFINE_int64(replay_hold_percent, 200, "measure routing: load in percent of the slots at which a router starts to hold requests");

namespace Commands {

using Json = nlohmann::json;

namespace {

struct NamedPolicy {
    ReplayPolicy policy;
    const char* name;
};

const NamedPolicy policies[] = {
    { ReplayPolicy::RoundRobin, "round robin" },
    { ReplayPolicy::LeastRequests, "least requests" },
    { ReplayPolicy::Chooser, "chooser" },
};

const int64_t loadPercents[] = { 70, 95, 130 };

}

static ReplaySettings settingsFromFlags()
{
    ReplaySettings settings;
    settings.seed = FLAGS_seed;
    settings.requests = FLAGS_replay_requests;
    settings.routers = FLAGS_replay_routers;
    settings.endpoints = FLAGS_replay_endpoints;
    settings.slots = FLAGS_replay_slots;
    settings.reportPeriodMs = FLAGS_replay_report_period_ms;
    settings.reportLagMs = FLAGS_replay_report_lag_ms;
    settings.loadBoundPercent = FLAGS_replay_load_bound_percent;
    settings.smallestSpread = FLAGS_replay_smallest_spread;
    settings.spreadFactor = FLAGS_replay_spread_factor;
    settings.knownRouters = FLAGS_replay_known_routers > 0 ? FLAGS_replay_known_routers : FLAGS_replay_routers;
    settings.holdPercent = FLAGS_replay_hold_percent;
    return settings;
}

static Json rowOf(const NamedPolicy& policy, const ReplaySettings& settings, const ReplayResult& result)
{
    return { { "load_percent", settings.loadPercent }, { "policy", policy.name }, { "first_token_p50_ms", result.firstTokenP50Ms },
        { "first_token_p95_ms", result.firstTokenP95Ms }, { "answered", result.answered }, { "prefix_hits", result.prefixHits },
        { "shed", result.shed } };
}

static void printRow(const Json& row)
{
    double hitPercent = 100 * row["prefix_hits"].get<double>() / std::max(1.0, row["answered"].get<double>());
    std::printf("%5lld%%  %-14s %12.1f %12.1f %9.1f%% %9lld\n", static_cast<long long>(row["load_percent"].get<int64_t>()),
        row["policy"].get<std::string>().c_str(), row["first_token_p50_ms"].get<double>(), row["first_token_p95_ms"].get<double>(),
        hitPercent, static_cast<long long>(row["shed"].get<int64_t>()));
}

int measureRouting(const Arguments&)
{
    ReplaySettings settings = settingsFromFlags();
    bool areFlagsValid = settings.requests >= 1 && settings.routers >= 1 && settings.endpoints >= 1 && settings.slots >= 1
        && settings.reportPeriodMs >= 1 && settings.reportLagMs >= 0;
    if (!areFlagsValid) {
        std::fputs("jujuberelay: measure routing: the counts and the report period must be at least 1, and the report lag must not be negative\n", stderr);
        return InvalidInput;
    }
    Json rows = Json::array();
    bool isTable = FLAGS_output != "json";
    if (isTable) {
        std::printf("%lld requests at %lld routers and %lld endpoints of %lld slots, seed %llu; first token in ms\n\n",
            static_cast<long long>(settings.requests), static_cast<long long>(settings.routers), static_cast<long long>(settings.endpoints),
            static_cast<long long>(settings.slots), static_cast<unsigned long long>(settings.seed));
        std::printf("%6s  %-14s %12s %12s %10s %9s\n", "load", "policy", "p50", "p95", "hits", "shed");
    }
    for (int64_t loadPercent : loadPercents) {
        for (const NamedPolicy& policy : policies) {
            settings.loadPercent = loadPercent;
            settings.policy = policy.policy;
            rows.push_back(rowOf(policy, settings, replayRouting(settings)));
            if (isTable)
                printRow(rows.back());
        }
    }
    if (!isTable)
        std::printf("%s\n", rows.dump(2).c_str());
    return Success;
}

}
