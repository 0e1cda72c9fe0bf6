#include "SettingsReader.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <limits>
#include <set>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace SettingsReader {

Reader stringReader(std::string& target)
{
    return [&target](const YAML::Node& node) -> std::optional<std::string> {
        if (!node.IsScalar() || node.Scalar().empty())
            return "a non-empty string";
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
            return "an IP address and port such as 127.0.0.1:8080";
        target = *address;
        return std::nullopt;
    };
}

Reader stringListReader(std::vector<std::string>& target)
{
    return [&target](const YAML::Node& node) -> std::optional<std::string> {
        static const char* const expected = "a list of words such as [base, drain]";
        if (!node.IsSequence())
            return expected;
        for (const YAML::Node& item : node) {
            std::string word;
            if (stringReader(word)(item))
                return expected;
            target.push_back(std::move(word));
        }
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
static Reader makeIntegerReader(Number& target, int64_t minimum, int64_t maximum)
{
    return [&target, minimum, maximum](const YAML::Node& node) -> std::optional<std::string> {
        int64_t value = 0;
        if (!node.IsScalar() || !YAML::convert<int64_t>::decode(node, value) || value < minimum || value > maximum)
            return "an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum);
        target = static_cast<Number>(value);
        return std::nullopt;
    };
}

Reader integerReader(int64_t& target, int64_t minimum, int64_t maximum)
{
    return makeIntegerReader(target, minimum, maximum);
}

Reader integerReader(uint32_t& target, int64_t minimum, int64_t maximum)
{
    return makeIntegerReader(target, minimum, maximum);
}

Reader doubleReader(double& target, double minimum, double maximum)
{
    return [&target, minimum, maximum](const YAML::Node& node) -> std::optional<std::string> {
        double value = 0;
        if (!node.IsScalar() || !YAML::convert<double>::decode(node, value) || !(value >= minimum && value <= maximum))
            return "a number from " + std::to_string(minimum) + " to " + std::to_string(maximum);
        target = value;
        return std::nullopt;
    };
}

Reader limitReader(double& target)
{
    return [&target](const YAML::Node& node) -> std::optional<std::string> {
        char* end = nullptr;
        double value = node.IsScalar() ? std::strtod(node.Scalar().c_str(), &end) : 0;
        if (!node.IsScalar() || node.Scalar().empty() || *end != '\0' || !(value >= 0))
            return "a number of at least 0";
        target = std::min(value, std::numeric_limits<double>::max());
        return std::nullopt;
    };
}

Reader boolReader(bool& target)
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
            return "64 lowercase hexadecimal digits";
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

std::nullopt_t fail(const std::string& location, const std::string& message, Core::Reason& reason)
{
    reason = { Core::FailureKind::Invalid, "read settings", location, message };
    return std::nullopt;
}

static std::string locationOf(const std::string& fileName, const YAML::Mark& mark)
{
    return fileName + " line " + std::to_string(mark.line + 1);
}

static std::optional<YAML::Node> parseYaml(const std::string& text, const std::string& fileName, Core::Reason& reason)
{
    try {
        return YAML::Load(text);
    } catch (const YAML::Exception& exception) {
        return fail(locationOf(fileName, exception.mark), exception.msg, reason);
    }
}

bool readFields(const std::string& text, const std::string& fileName, const Fields& fields, Core::Reason& reason)
{
    auto refuse = [&reason](const std::string& location, const std::string& message) {
        fail(location, message, reason);
        return false;
    };
    std::optional<YAML::Node> root = parseYaml(text, fileName, reason);
    if (!root)
        return false;
    if (!root->IsMap())
        return refuse(fileName, "expected a mapping of keys to values");
    std::set<std::string> seen;
    for (YAML::const_iterator entry = root->begin(); entry != root->end(); ++entry) {
        std::string location = locationOf(fileName, entry->first.Mark());
        if (!entry->first.IsScalar())
            return refuse(location, "expected a scalar key");
        std::string key = entry->first.Scalar();
        Fields::const_iterator field = fields.find(key);
        if (field == fields.end())
            return refuse(location, "unknown key '" + key + "'");
        if (!seen.insert(key).second)
            return refuse(location, "duplicate key '" + key + "'");
        // A template writes an optional key without a value if its source has none.
        if (entry->second.IsNull() && field->second.presence == Presence::Optional)
            continue;
        std::optional<std::string> expected = field->second.read(entry->second);
        if (expected)
            return refuse(location, "invalid value for key '" + key + "': expected " + *expected);
    }
    for (const std::pair<const std::string, Field>& field : fields) {
        if (field.second.presence == Presence::Required && !seen.contains(field.first))
            return refuse(fileName, "missing required key '" + field.first + "'");
    }
    return true;
}

std::optional<std::string> readFile(const std::string& path, Core::Reason& reason)
{
    std::ifstream file(path);
    if (!file)
        return fail(path, "cannot open the file", reason);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

}
