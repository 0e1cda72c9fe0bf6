#include "Commands.h"

#include "LibEmulator/EngineEmulator.h"
#include "RunEmulator.h"
#include <cstdio>
#include <gflags/gflags.h>
#include <sstream>

DEFINE_uint64(engine_seed, 1, "emulate engine: seed of the times between tokens and of the gaps in cache events");
DEFINE_int64(prefill_ms_per_1000_tokens, 40, "emulate engine: time for 1,000 prompt tokens that are not cached");
DEFINE_int64(time_per_token_us, 5000, "emulate engine: mean time for each token in microseconds");
DEFINE_int64(token_jitter_percent, 50, "emulate engine: largest deviation of a token's time from the mean, 0 to 100");
DEFINE_int64(slots, 32, "emulate engine: number of streams that run concurrently");
DEFINE_int64(queue_limit, 256, "emulate engine: number of streams that may wait for a slot; further streams are refused with 503");
DEFINE_int64(cache_tokens, 100000, "emulate engine: capacity of the prefix cache in tokens");
DEFINE_int64(load_lag_ms, 500, "emulate engine: age of load reports");
DEFINE_int64(cache_event_lag_ms, 1000, "emulate engine: delay before cache events are reported");
DEFINE_int64(cache_event_gap_percent, 5, "emulate engine: percentage of cache events that are never reported");
DEFINE_int64(keep_finished_ms, 900000, "emulate engine: retention time of finished streams");
DEFINE_bool(checks_fencing, true, "emulate engine: refuse orders with an older fencing number");
DEFINE_string(models, "", "emulate engine: loaded models, separated by commas; empty for any");

namespace Commands {

static std::set<std::string> splitNames(const std::string& text)
{
    std::set<std::string> names;
    std::istringstream stream(text);
    std::string name;
    while (std::getline(stream, name, ','))
        names.insert(name);
    return names;
}

// Prints an error for the first flag that is out of range.
static bool areFlagsValid()
{
    struct Limit {
        const char* name;
        int64_t value;
        int64_t smallest;
    };
    const Limit limits[] = {
        { "prefill_ms_per_1000_tokens", FLAGS_prefill_ms_per_1000_tokens, 0 },
        { "time_per_token_us", FLAGS_time_per_token_us, 0 },
        { "slots", FLAGS_slots, 1 },
        { "queue_limit", FLAGS_queue_limit, 0 },
        { "cache_tokens", FLAGS_cache_tokens, 0 },
        { "load_lag_ms", FLAGS_load_lag_ms, 0 },
        { "cache_event_lag_ms", FLAGS_cache_event_lag_ms, 0 },
        { "cache_event_gap_percent", FLAGS_cache_event_gap_percent, 0 },
        { "keep_finished_ms", FLAGS_keep_finished_ms, 0 },
    };
    for (const Limit& limit : limits) {
        if (limit.value >= limit.smallest)
            continue;
        std::fprintf(stderr, "jujuberelay: --%s: must be at least %lld\n", limit.name, static_cast<long long>(limit.smallest));
        return false;
    }
    if (FLAGS_token_jitter_percent < 0 || FLAGS_token_jitter_percent > 100) {
        std::fputs("jujuberelay: --token_jitter_percent: must be 0 to 100\n", stderr);
        return false;
    }
    return true;
}

static Emulator::EngineSettings settingsFromFlags()
{
    Emulator::EngineSettings settings;
    settings.seed = FLAGS_engine_seed;
    settings.prefillMsPer1000Tokens = FLAGS_prefill_ms_per_1000_tokens;
    settings.timePerTokenUs = FLAGS_time_per_token_us;
    settings.tokenJitterPercent = FLAGS_token_jitter_percent;
    settings.slots = FLAGS_slots;
    settings.queueLimit = FLAGS_queue_limit;
    settings.cacheTokens = FLAGS_cache_tokens;
    settings.loadLagMs = FLAGS_load_lag_ms;
    settings.cacheEventLagMs = FLAGS_cache_event_lag_ms;
    settings.cacheEventGapPercent = FLAGS_cache_event_gap_percent;
    settings.keepFinishedMs = FLAGS_keep_finished_ms;
    settings.checksFencing = FLAGS_checks_fencing;
    settings.models = splitNames(FLAGS_models);
    return settings;
}

int emulateEngine(const Arguments&)
{
    if (!areFlagsValid())
        return InvalidInput;
    boost::asio::io_context context(1);
    Emulator::EngineEmulator engine(context.get_executor(), settingsFromFlags());
    return runEmulator(
        context,
        [&engine](const Core::Address& address, Core::Reason& reason) { return engine.listen(address, reason); },
        [] {});
}

}
