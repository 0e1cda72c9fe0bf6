#include "Commands.h"
#include "LibEmulator/PlatformEmulator.h"
#include "RunEmulator.h"
#include <cstdio>
#include <gflags/gflags.h>

DEFINE_double(writes_per_second, 0, "emulate platform: limit of puts and removes; 0 sets none");
DEFINE_double(reads_per_second, 0, "emulate platform: limit of gets, lists and watch requests; 0 sets none");
DEFINE_uint64(watch_limit, 0, "emulate platform: limit of concurrent waiting watches; 0 sets none");
DEFINE_uint64(watch_history, 10'000, "emulate platform: number of changes kept for watches");
DEFINE_uint64(host_lag_ms, 0, "emulate platform: time until a new host list becomes visible");
DEFINE_string(platform_hosts, "", "emulate platform: initial host list as HOST=FAILURE_DOMAIN,...");

namespace Commands {

static bool parseHosts(std::string_view text, std::vector<Platform::HostRecord>& hosts)
{
    while (!text.empty()) {
        std::string_view item = text.substr(0, text.find(','));
        text.remove_prefix(std::min(text.size(), item.size() + 1));
        size_t equals = item.find('=');
        if (equals == std::string_view::npos || equals == 0 || equals + 1 == item.size()) {
            std::fprintf(stderr, "jujuberelay: --platform_hosts: '%s' is not HOST=FAILURE_DOMAIN\n", std::string(item).c_str());
            return false;
        }
        hosts.push_back({ std::string(item.substr(0, equals)), std::string(item.substr(equals + 1)), Platform::HostState::Live });
    }
    return true;
}

int emulatePlatform(const Arguments& arguments)
{
    if (arguments.size() > 1) {
        std::fprintf(stderr, "jujuberelay: unexpected argument '%s'\n", arguments[1].c_str());
        return InvalidInput;
    }
    if (FLAGS_writes_per_second < 0 || FLAGS_reads_per_second < 0) {
        std::fputs("jujuberelay: --writes_per_second and --reads_per_second must not be negative\n", stderr);
        return InvalidInput;
    }
    Emulator::PlatformSettings settings;
    settings.writesPerSecond = FLAGS_writes_per_second;
    settings.readsPerSecond = FLAGS_reads_per_second;
    settings.watchLimit = FLAGS_watch_limit;
    settings.history.maxChanges = FLAGS_watch_history;
    settings.hostLag = std::chrono::milliseconds(FLAGS_host_lag_ms);
    if (!parseHosts(FLAGS_platform_hosts, settings.hosts))
        return InvalidInput;
    boost::asio::io_context context(1);
    Emulator::PlatformEmulator emulator(context.get_executor(), std::move(settings));
    return runEmulator(
        context,
        [&](const Core::Address& address, Core::Reason& reason) { return emulator.listen(address, reason); },
        [&] { emulator.close(); });
}

}
