#include "RelaySettings.h"

#include "LibCore/Try.h"
#include "ProcessLimits.h"
#include "SettingsReader.h"

using namespace SettingsReader;

// The part of the memory that responses may take up. The rest is for the configuration, connections, requests and what allocations
// leave unused.
static constexpr size_t responseMemoryDivisor = 5;
// A retry reaches another daemon, so callers need not wait for long.
static constexpr const char* callerRetryAfterSeconds = "0.25";

size_t RelaySettings::responseBytes() const
{
    return ProcessLimits::memoryBytes(memoryMb) / responseMemoryDivisor;
}

HTTP::ClientCapacity RelaySettings::callerCapacity() const
{
    HTTP::ClientCapacity capacity = ProcessLimits::callerCapacity(hostMemoryMb > 0 ? hostMemoryMb : memoryMb, descriptorLimit);
    capacity.retryAfter = callerRetryAfterSeconds;
    return capacity;
}

HTTP::ClientCapacity RelaySettings::statusCapacity() const
{
    return ProcessLimits::statusCapacity(hostMemoryMb > 0 ? hostMemoryMb : memoryMb, descriptorLimit);
}

static Fields fieldsOf(RelaySettings& settings)
{
    static constexpr int64_t hourMs = 3'600'000;
    static constexpr double hourSeconds = 3'600;
    static constexpr double maxRetries = 1e12;
    static constexpr double maxColdRequests = 1e12;
    static constexpr double maxCores = 1e12;
    static constexpr double maxStoreWrites = 1e12;
    static constexpr double maxLinkMbps = 1e12;
    static constexpr double maxEvacuateLimitMs = 1e12;
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
    fields["evacuate_limit_ms"] = { Presence::Optional, cappedDoubleReader(settings.evacuateLimitMs, 0, maxEvacuateLimitMs) };
    fields["stop_limit_s"] = { Presence::Optional, doubleReader(settings.stopLimitSeconds, 0.1, hourSeconds) };
    fields["retry_share"] = { Presence::Optional, doubleReader(settings.retryShare, 0, 1) };
    fields["retry_extra"] = { Presence::Optional, doubleReader(settings.retryExtra, 0, maxRetries) };
    fields["cold_overage"] = { Presence::Optional, doubleReader(settings.coldOverage, 0, maxColdRequests) };
    fields["cold_extra"] = { Presence::Optional, doubleReader(settings.coldExtra, 0, maxColdRequests) };
    fields["store_writes_per_s"] = { Presence::Optional, doubleReader(settings.storeWritesPerSecond, 0, maxStoreWrites) };
    fields["processor_share"] = { Presence::Optional, doubleReader(settings.processorShare, 0, maxCores) };
    fields["full_link_delay_ms"] = { Presence::Optional, integerReader(settings.fullLinkDelayMs, 1, hourMs) };
    fields["link_mbps"] = { Presence::Optional, doubleReader(settings.linkMbps, 0, maxLinkMbps) };
    fields["memory_mb"] = { Presence::Optional, limitReader(settings.memoryMb) };
    fields["host_memory_mb"] = { Presence::Optional, limitReader(settings.hostMemoryMb) };
    fields["descriptor_limit"] = { Presence::Optional, limitReader(settings.descriptorLimit) };
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
