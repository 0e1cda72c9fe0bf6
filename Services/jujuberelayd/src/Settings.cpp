#include "Settings.h"

#include "LibCore/Try.h"
#include <algorithm>
#include <fstream>
#include <functional>
#include <limits>
#include <map>
#include <set>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace {

enum class Need {
    Required,
    Optional,
};

// Reads one key. Returns what was expected when the value does not fit.
using Reader = std::function<std::optional<std::string>(const YAML::Node&)>;

struct Field {
    Need need;
    Reader read;
};

using Fields = std::map<std::string, Field>;

Reader textReader(std::string& target)
{
    return [&target](const YAML::Node& node) -> std::optional<std::string> {
        if (!node.IsScalar() || node.Scalar().empty())
            return "a non-empty text";
        target = node.Scalar();
        return std::nullopt;
    };
}

Reader addressReader(Core::Address& target)
{
    return [&target](const YAML::Node& node) -> std::optional<std::string> {
        Core::Reason reason;
        std::optional<Core::Address> address = node.IsScalar() ? Core::Address::parse(node.Scalar(), reason) : std::nullopt;
        if (!address)
            return "an IP number and a port such as 127.0.0.1:8080";
        target = *address;
        return std::nullopt;
    };
}

Reader addressListReader(std::vector<Core::Address>& target)
{
    return [&target](const YAML::Node& node) -> std::optional<std::string> {
        static const char* const expected = "a list of addresses such as [127.0.0.1:8081]";
        if (!node.IsSequence())
            return expected;
        for (const YAML::Node& item : node) {
            Core::Address address;
            if (addressReader(address)(item))
                return expected;
            target.push_back(address);
        }
        return std::nullopt;
    };
}

template <typename Number>
Reader numberReader(Number& target, int64_t lowest, int64_t highest)
{
    return [&target, lowest, highest](const YAML::Node& node) -> std::optional<std::string> {
        int64_t value = 0;
        if (!node.IsScalar() || !YAML::convert<int64_t>::decode(node, value) || value < lowest || value > highest)
            return "a whole number from " + std::to_string(lowest) + " to " + std::to_string(highest);
        target = static_cast<Number>(value);
        return std::nullopt;
    };
}

Reader switchReader(bool& target)
{
    return [&target](const YAML::Node& node) -> std::optional<std::string> {
        if (node.IsScalar() && YAML::convert<bool>::decode(node, target))
            return std::nullopt;
        return "true or false";
    };
}

Reader hexDigestReader(std::string& target)
{
    return [&target](const YAML::Node& node) -> std::optional<std::string> {
        if (!node.IsScalar() || node.Scalar().size() != 64 || node.Scalar().find_first_not_of("0123456789abcdef") != std::string::npos)
            return "64 hexadecimal digits in lower case";
        target = node.Scalar();
        return std::nullopt;
    };
}

Reader choiceReader(std::string& target, std::vector<std::string> choices)
{
    return [&target, choices = std::move(choices)](const YAML::Node& node) -> std::optional<std::string> {
        if (node.IsScalar() && std::find(choices.begin(), choices.end(), node.Scalar()) != choices.end()) {
            target = node.Scalar();
            return std::nullopt;
        }
        std::string expected = "one of";
        for (const std::string& choice : choices)
            expected += " " + choice;
        return expected;
    };
}

Fields fieldsOf(Settings& settings)
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

std::nullopt_t fail(const std::string& place, const std::string& message, Core::Reason& reason)
{
    reason = { Core::FailureKind::Invalid, "read settings", place, message };
    return std::nullopt;
}

std::string placeOf(const std::string& fileName, const YAML::Mark& mark)
{
    return fileName + " line " + std::to_string(mark.line + 1);
}

std::optional<YAML::Node> parseYaml(const std::string& text, const std::string& fileName, Core::Reason& reason)
{
    try {
        return YAML::Load(text);
    } catch (const YAML::Exception& exception) {
        return fail(placeOf(fileName, exception.mark), exception.msg, reason);
    }
}

}

std::optional<Settings> parseSettings(const std::string& text, const std::string& fileName, Core::Reason& reason)
{
    YAML::Node root = TRY(parseYaml(text, fileName, reason));
    if (!root.IsMap())
        return fail(fileName, "expected a mapping of keys to values", reason);
    Settings settings;
    Fields fields = fieldsOf(settings);
    std::set<std::string> seen;
    for (YAML::const_iterator entry = root.begin(); entry != root.end(); ++entry) {
        std::string place = placeOf(fileName, entry->first.Mark());
        if (!entry->first.IsScalar())
            return fail(place, "keys must be plain text", reason);
        std::string key = entry->first.Scalar();
        Fields::const_iterator field = fields.find(key);
        if (field == fields.end())
            return fail(place, "unknown key '" + key + "'", reason);
        if (!seen.insert(key).second)
            return fail(place, "the key '" + key + "' stands twice", reason);
        std::optional<std::string> expected = field->second.read(entry->second);
        if (expected)
            return fail(place, "the key '" + key + "' needs " + *expected, reason);
    }
    for (const std::pair<const std::string, Field>& field : fields) {
        if (field.second.need == Need::Required && !seen.contains(field.first))
            return fail(fileName, "the key '" + field.first + "' is missing", reason);
    }
    if (settings.certificateFile.empty() != settings.privateKeyFile.empty() || settings.certificateFile.empty() != settings.authorityFile.empty())
        return fail(fileName, "certificate_file, private_key_file and authority_file must be set together", reason);
    return settings;
}

std::optional<Settings> loadSettings(const std::string& path, Core::Reason& reason)
{
    std::ifstream file(path);
    if (!file)
        return fail(path, "the file cannot be opened", reason);
    std::stringstream text;
    text << file.rdbuf();
    return parseSettings(text.str(), path, reason);
}
