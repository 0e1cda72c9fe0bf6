#include "Commands.h"
#include "LibEmulator/LoadGenerator.h"
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <gflags/gflags.h>
#include <sstream>

DECLARE_string(output);
DECLARE_uint64(seed);
DEFINE_string(targets, "", "load: IP:PORT of daemons or engines, separated by commas");
DEFINE_bool(targets_are_engines, false, "load: send to model engines instead of daemons");
DEFINE_string(keys, "", "load: bearer keys, separated by commas and used in turn");
DEFINE_string(load_model, "m", "load: the model of all requests");
DEFINE_int64(count, 100, "load: number of requests");
DEFINE_int64(concurrency, 8, "load: number of concurrent requests");
DEFINE_int64(prompt_bytes, 200, "load: size of the unique part of each prompt in bytes");
DEFINE_int64(prefixes, 4, "load: number of different prefixes that prompts share; 0 for none");
DEFINE_int64(prefix_bytes, 1024, "load: size of each shared prefix in bytes");
DEFINE_int64(max_tokens, 32, "load: max_tokens of each request");
DEFINE_int64(whole_percent, 0, "load: percentage of requests without streaming");
DEFINE_bool(retry, false, "load: retry a request whose answer was interrupted at another target, with the same Idempotency-Key");
DEFINE_int64(max_attempts, 4, "load: attempts for each request when --retry is given");
DEFINE_int64(load_ramp_ms, 0, "load: ramp-up time over which the first --concurrency requests start");
DEFINE_int64(request_timeout_ms, 30000, "load: timeout of each attempt");

namespace Commands {

static std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    std::string part;
    while (std::getline(stream, part, ','))
        parts.push_back(part);
    return parts;
}

// Prints an error and returns no value if a flag is invalid.
static std::optional<Emulator::LoadSettings> settingsFromFlags()
{
    Emulator::LoadSettings settings;
    for (const std::string& text : split(FLAGS_targets)) {
        Core::Reason reason;
        std::optional<Core::Address> target = Core::Address::parse(text, reason);
        if (!target) {
            std::fprintf(stderr, "jujuberelay: --targets: %s\n", reason.text().c_str());
            return std::nullopt;
        }
        settings.targets.push_back(*target);
    }
    bool areNumbersValid = FLAGS_count >= 1 && FLAGS_concurrency >= 1 && FLAGS_prompt_bytes >= 0 && FLAGS_prefixes >= 0
        && FLAGS_prefix_bytes >= 0 && FLAGS_max_tokens >= 1 && FLAGS_max_attempts >= 1 && FLAGS_load_ramp_ms >= 0 && FLAGS_request_timeout_ms >= 1;
    if (settings.targets.empty() || !areNumbersValid) {
        std::fputs("jujuberelay: load: --targets=IP:PORT,... is required, and numeric flags must not be below their minimum\n", stderr);
        return std::nullopt;
    }
    settings.targetsAreEngines = FLAGS_targets_are_engines;
    settings.keys = split(FLAGS_keys);
    settings.model = FLAGS_load_model;
    settings.count = FLAGS_count;
    settings.concurrency = FLAGS_concurrency;
    settings.seed = FLAGS_seed;
    settings.promptBytes = FLAGS_prompt_bytes;
    settings.prefixes = FLAGS_prefixes;
    settings.prefixBytes = FLAGS_prefix_bytes;
    settings.maxTokens = FLAGS_max_tokens;
    settings.nonStreamingPercent = FLAGS_whole_percent;
    settings.maxAttempts = FLAGS_retry ? FLAGS_max_attempts : 1;
    settings.rampMs = FLAGS_load_ramp_ms;
    settings.timeoutMs = FLAGS_request_timeout_ms;
    return settings;
}

// Returns Violation if an answer was wrong, and Unreachable if no target could be reached.
int load(const Arguments&)
{
    if (FLAGS_output != "table" && FLAGS_output != "json") {
        std::fputs("jujuberelay: --output: must be table or json\n", stderr);
        return InvalidInput;
    }
    std::optional<Emulator::LoadSettings> settings = settingsFromFlags();
    if (!settings)
        return InvalidInput;
    boost::asio::io_context context(1);
    Emulator::LoadGenerator generator(context.get_executor(), *settings);
    Emulator::LoadResult result;
    boost::asio::co_spawn(context, generator.run(), [&](std::exception_ptr error, Emulator::LoadResult finished) {
        if (error)
            std::rethrow_exception(error);
        result = std::move(finished);
        context.stop();
    });
    context.run();
    std::fputs(FLAGS_output == "json" ? result.toJson().c_str() : result.toTable().c_str(), stdout);
    if (result.wrong > 0)
        return Violation;
    return result.unreachable == result.sent ? Unreachable : Success;
}

}
