#include "Settings.h"

#include "LibCore/Try.h"
#include "SettingsReader.h"

using namespace SettingsReader;

static Fields fieldsOf(Settings& settings)
{
    static constexpr int64_t dayMs = 24 * 3'600'000;
    Fields fields;
    fields["host"] = { Need::Required, textReader(settings.host) };
    fields["failure_domain"] = { Need::Required, textReader(settings.failureDomain) };
    fields["region"] = { Need::Required, textReader(settings.region) };
    fields["caller_address"] = { Need::Required, addressReader(settings.callerAddress) };
    fields["peer_address"] = { Need::Required, addressReader(settings.peerAddress) };
    fields["operator_address"] = { Need::Required, addressReader(settings.operatorAddress) };
    fields["platform_address"] = { Need::Required, addressReader(settings.platformAddress) };
    fields["seed_peers"] = { Need::Optional, addressListReader(settings.seedPeers) };
    fields["peer_key"] = { Need::Required, textReader(settings.peerKey) };
    fields["operator_key_sha256"] = { Need::Required, hexDigestReader(settings.operatorKeySha256) };
    fields["certificate_file"] = { Need::Optional, textReader(settings.certificateFile) };
    fields["private_key_file"] = { Need::Optional, textReader(settings.privateKeyFile) };
    fields["authority_file"] = { Need::Optional, textReader(settings.authorityFile) };
    fields["shard_count"] = { Need::Optional, numberReader(settings.shardCount, 1, 4096) };
    fields["commit_gather_ms"] = { Need::Optional, numberReader(settings.commitGatherMs, 0, 10'000) };
    fields["grant_idle_ms"] = { Need::Optional, numberReader(settings.grantIdleMs, 100, dayMs) };
    fields["isolated_limit_ms"] = { Need::Optional, numberReader(settings.isolatedLimitMs, 1'000, dayMs) };
    fields["outage_limit_ms"] = { Need::Optional, numberReader(settings.outageLimitMs, 1'000, 30 * dayMs) };
    fields["drain_limit_ms"] = { Need::Optional, numberReader(settings.drainLimitMs, 0, dayMs) };
    fields["readiness_delay_ms"] = { Need::Optional, numberReader(settings.readinessDelayMs, 0, dayMs) };
    fields["watchers_per_failure_domain"] = { Need::Optional, numberReader(settings.watchersPerFailureDomain, 1, 1000) };
    fields["fault_switches"] = { Need::Optional, switchReader(settings.faultSwitches) };
    fields["log_level"] = { Need::Optional, choiceReader(settings.logLevel, { "debug", "info", "warning", "error" }) };
    fields["trace_file"] = { Need::Optional, textReader(settings.traceFile) };
    return fields;
}

std::optional<Settings> parseSettings(const std::string& text, const std::string& fileName, Core::Reason& reason)
{
    Settings settings;
    if (!readFields(text, fileName, fieldsOf(settings), reason))
        return std::nullopt;
    if (settings.certificateFile.empty() != settings.privateKeyFile.empty() || settings.certificateFile.empty() != settings.authorityFile.empty())
        return fail(fileName, "certificate_file, private_key_file and authority_file must be set together", reason);
    return settings;
}

std::optional<Settings> loadSettings(const std::string& path, Core::Reason& reason)
{
    std::string text = TRY(readFile(path, reason));
    return parseSettings(text, path, reason);
}
