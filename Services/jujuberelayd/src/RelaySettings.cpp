#include "RelaySettings.h"

#include "LibCore/Try.h"
#include "SettingsReader.h"

using namespace SettingsReader;

static Fields fieldsOf(RelaySettings& settings)
{
    static constexpr int64_t hourMs = 3'600'000;
    static constexpr int64_t mostRetries = 1'000'000;
    static constexpr double mostCores = 1'000;
    static constexpr double fastestLinkMbps = 1'000'000;
    Fields fields;
    fields["host"] = { Need::Required, textReader(settings.host) };
    fields["failure_domain"] = { Need::Required, textReader(settings.failureDomain) };
    fields["caller_address"] = { Need::Required, addressReader(settings.callerAddress) };
    fields["readiness_address"] = { Need::Required, addressReader(settings.readinessAddress) };
    fields["metrics_address"] = { Need::Required, addressReader(settings.metricsAddress) };
    fields["store_address"] = { Need::Required, addressReader(settings.storeAddress) };
    fields["peer_address"] = { Need::Required, addressReader(settings.peerAddress) };
    fields["peer_key"] = { Need::Required, textReader(settings.peerKey) };
    fields["seed_peers"] = { Need::Optional, addressListReader(settings.seedPeers) };
    fields["outage_limit_ms"] = { Need::Optional, numberReader(settings.outageLimitMs, 1'000, hourMs) };
    fields["stop_limit_ms"] = { Need::Optional, numberReader(settings.stopLimitMs, 100, hourMs) };
    fields["retry_share"] = { Need::Optional, fractionReader(settings.retryShare, 0, 1) };
    fields["retry_extra"] = { Need::Optional, numberReader(settings.retryExtra, 0, mostRetries) };
    fields["processor_share"] = { Need::Optional, fractionReader(settings.processorShare, 0, mostCores) };
    fields["link_mbps"] = { Need::Optional, fractionReader(settings.linkMbps, 0, fastestLinkMbps) };
    fields["log_level"] = { Need::Optional, choiceReader(settings.logLevel, { "debug", "info", "warning", "error" }) };
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
