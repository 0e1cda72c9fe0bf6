#include "RelaySettings.h"

#include "LibCore/Try.h"
#include "SettingsReader.h"
#include <algorithm>
#include <sys/resource.h>
#include <unistd.h>

using namespace SettingsReader;

static constexpr size_t bytesPerMb = 1'000'000;
// The part of the memory that responses may take up. The rest is for the configuration, connections, requests and what allocations
// leave unused.
static constexpr size_t responseMemoryDivisor = 5;
// Without a setting, a host is taken to have no more than this for the daemon.
static constexpr size_t maxDefaultMemoryBytes = 320 * bytesPerMb;

static size_t hostMemoryBytes()
{
    long pages = ::sysconf(_SC_PHYS_PAGES);
    long pageBytes = ::sysconf(_SC_PAGESIZE);
    return pages > 0 && pageBytes > 0 ? static_cast<size_t>(pages) * static_cast<size_t>(pageBytes) : maxDefaultMemoryBytes;
}

size_t RelaySettings::responseBytes() const
{
    size_t memoryBytes = memoryMb > 0 ? static_cast<size_t>(memoryMb) * bytesPerMb : std::min(hostMemoryBytes(), maxDefaultMemoryBytes);
    return memoryBytes / responseMemoryDivisor;
}

Relay::HostCapacity RelaySettings::hostCapacity() const
{
    static constexpr double bytesPerSecondPerMbps = 1e6 / 8;
    Relay::HostCapacity capacity;
    capacity.linkBytesPerSecond = linkMbps * bytesPerSecondPerMbps;
    capacity.processorShare = processorShare;
    capacity.descriptors = static_cast<size_t>(descriptorLimit);
    ::rlimit limit {};
    if (::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY) {
        size_t ownLimit = static_cast<size_t>(limit.rlim_cur);
        capacity.descriptors = capacity.descriptors > 0 ? std::min(capacity.descriptors, ownLimit) : ownLimit;
    }
    return capacity;
}

static Fields fieldsOf(RelaySettings& settings)
{
    static constexpr int64_t hourMs = 3'600'000;
    static constexpr double hourSeconds = 3'600;
    static constexpr double maxRetries = 1e12;
    static constexpr double maxCores = 1e12;
    static constexpr double maxLinkMbps = 1e12;
    static constexpr double maxDescriptors = 1e12;
    static constexpr int64_t maxMemoryMb = 1'000'000'000;
    Fields fields;
    fields["host"] = { Presence::Required, stringReader(settings.host) };
    fields["failure_domain"] = { Presence::Required, stringReader(settings.failureDomain) };
    fields["caller_address"] = { Presence::Required, addressReader(settings.callerAddress) };
    fields["readiness_address"] = { Presence::Required, addressReader(settings.readinessAddress) };
    fields["metrics_address"] = { Presence::Required, addressReader(settings.metricsAddress) };
    fields["store_address"] = { Presence::Required, addressReader(settings.storeAddress) };
    fields["peer_address"] = { Presence::Required, addressReader(settings.peerAddress) };
    fields["peer_key"] = { Presence::Required, stringReader(settings.peerKey) };
    fields["seed_peers"] = { Presence::Optional, addressListReader(settings.seedPeers) };
    fields["outage_limit_ms"] = { Presence::Optional, integerReader(settings.outageLimitMs, 1'000, hourMs) };
    fields["stop_limit_s"] = { Presence::Optional, doubleReader(settings.stopLimitSeconds, 0.1, hourSeconds) };
    fields["retry_share"] = { Presence::Optional, doubleReader(settings.retryShare, 0, 1) };
    fields["retry_extra"] = { Presence::Optional, doubleReader(settings.retryExtra, 0, maxRetries) };
    fields["processor_share"] = { Presence::Optional, doubleReader(settings.processorShare, 0, maxCores) };
    fields["link_mbps"] = { Presence::Optional, doubleReader(settings.linkMbps, 0, maxLinkMbps) };
    fields["memory_mb"] = { Presence::Optional, integerReader(settings.memoryMb, 0, maxMemoryMb) };
    fields["descriptor_limit"] = { Presence::Optional, doubleReader(settings.descriptorLimit, 0, maxDescriptors) };
    fields["features"] = { Presence::Optional, stringListReader(settings.features) };
    fields["log_level"] = { Presence::Optional, choiceReader(settings.logLevel, { "debug", "info", "warning", "error" }) };
    return fields;
}

std::optional<RelaySettings> parseRelaySettings(const std::string& text, const std::string& fileName, Core::Reason& reason)
{
    RelaySettings settings;
    if (!readFields(text, fileName, fieldsOf(settings), reason))
        return std::nullopt;
    return settings;
}

std::optional<RelaySettings> loadRelaySettings(const std::string& path, Core::Reason& reason)
{
    std::string text = TRY(readFile(path, reason));
    return parseRelaySettings(text, path, reason);
}
