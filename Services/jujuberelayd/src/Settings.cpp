#include "Settings.h"

#include "LibCore/Try.h"
#include "SettingsReader.h"

using namespace SettingsReader;

static Fields fieldsOf(Settings& settings)
{
    static constexpr int64_t dayMs = 24 * 3'600'000;
    Fields fields;
    fields["host"] = { Presence::Required, stringReader(settings.host) };
    fields["failure_domain"] = { Presence::Required, stringReader(settings.failureDomain) };
    fields["region"] = { Presence::Required, stringReader(settings.region) };
    fields["caller_address"] = { Presence::Required, addressReader(settings.callerAddress) };
    fields["peer_address"] = { Presence::Required, addressReader(settings.peerAddress) };
    fields["operator_address"] = { Presence::Required, addressReader(settings.operatorAddress) };
    fields["platform_address"] = { Presence::Required, addressReader(settings.platformAddress) };
    fields["seed_peers"] = { Presence::Optional, addressListReader(settings.seedPeers) };
    fields["peer_key"] = { Presence::Required, stringReader(settings.peerKey) };
    fields["operator_key_sha256"] = { Presence::Required, hexDigestReader(settings.operatorKeySha256) };
    fields["certificate_file"] = { Presence::Optional, stringReader(settings.certificateFile) };
    fields["private_key_file"] = { Presence::Optional, stringReader(settings.privateKeyFile) };
    fields["authority_file"] = { Presence::Optional, stringReader(settings.authorityFile) };
    fields["shard_count"] = { Presence::Optional, integerReader(settings.shardCount, 1, 4096) };
    fields["commit_gather_ms"] = { Presence::Optional, integerReader(settings.commitGatherMs, 0, 10'000) };
    fields["grant_idle_ms"] = { Presence::Optional, integerReader(settings.grantIdleMs, 100, dayMs) };
    fields["isolated_limit_ms"] = { Presence::Optional, integerReader(settings.isolatedLimitMs, 1'000, dayMs) };
    fields["outage_limit_ms"] = { Presence::Optional, integerReader(settings.outageLimitMs, 1'000, 30 * dayMs) };
    fields["drain_limit_ms"] = { Presence::Optional, integerReader(settings.drainLimitMs, 0, dayMs) };
    fields["readiness_delay_ms"] = { Presence::Optional, integerReader(settings.readinessDelayMs, 0, dayMs) };
    fields["watchers_per_failure_domain"] = { Presence::Optional, integerReader(settings.watchersPerFailureDomain, 1, 1000) };
    fields["memory_mb"] = { Presence::Optional, limitReader(settings.memoryMb) };
    fields["descriptor_limit"] = { Presence::Optional, limitReader(settings.descriptorLimit) };
    fields["fault_switches"] = { Presence::Optional, boolReader(settings.faultSwitches) };
    fields["log_level"] = { Presence::Optional, choiceReader(settings.logLevel, { "debug", "info", "warning", "error" }) };
    fields["trace_file"] = { Presence::Optional, stringReader(settings.traceFile) };
    return fields;
}

std::optional<Settings> parseSettings(const std::string& text, const std::string& fileName, Core::Reason& reason)
{
    Settings settings;
    if (!readFields(text, fileName, fieldsOf(settings), reason))
        return std::nullopt;
    if (settings.certificateFile.empty() != settings.privateKeyFile.empty() || settings.certificateFile.empty() != settings.authorityFile.empty())
        return fail(fileName, "certificate_file, private_key_file and authority_file must be set together or not at all", reason);
    return settings;
}

std::optional<Settings> loadSettings(const std::string& path, Core::Reason& reason)
{
    std::string text = TRY(readFile(path, reason));
    return parseSettings(text, path, reason);
}
