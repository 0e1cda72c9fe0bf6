#include "FieldReader.h"

#include <algorithm>
#include <cctype>

namespace Intent {

static constexpr size_t maxNameLength = 128;

static bool isHexDigit(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

static bool isLetterOrDigit(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
}

bool isValidName(const std::string& text, FieldRule rule)
{
    if (rule == FieldRule::Sha256)
        return text.size() == 64 && std::all_of(text.begin(), text.end(), isHexDigit);
    if (rule == FieldRule::NameOrAny && text == "*")
        return true;
    if (text.empty() || text.size() > maxNameLength || !isLetterOrDigit(text.front()))
        return false;
    std::string_view punctuation = rule == FieldRule::ModelName ? "._-/:" : "._-";
    return std::all_of(text.begin(), text.end(), [&](char c) { return isLetterOrDigit(c) || punctuation.find(c) != std::string_view::npos; });
}

static const char* describeNameRule(FieldRule rule)
{
    switch (rule) {
    case FieldRule::Sha256:
        return "must be 64 lower-case hexadecimal digits";
    case FieldRule::NameOrAny:
        return "must be a name of letters, digits, '.', '_' and '-', or '*'";
    case FieldRule::ModelName:
        return "must be a name of at most 128 letters, digits, '.', '_', '-', '/' and ':'";
    default:
        return "must be a name of at most 128 letters, digits, '.', '_' and '-' that starts with a letter or digit";
    }
}

struct Range {
    int64_t lowest;
    int64_t highest;
};

static Range rangeOf(FieldRule rule)
{
    static constexpr int64_t maxValue = 1'000'000'000'000'000;
    switch (rule) {
    case FieldRule::Priority:
        return { -1000, 1000 };
    case FieldRule::Percent:
        return { 1, 100 };
    case FieldRule::Slots:
        return { 1, 1'000'000 };
    case FieldRule::NonNegative:
        return { 0, maxValue };
    default:
        return { 1, maxValue };
    }
}

FieldReader::FieldReader(const YAML::Node& map, std::string path, bool requireAll, std::vector<NoteError>& errors)
    : m_map(map)
    , m_path(std::move(path))
    , m_requireAll(requireAll)
    , m_errors(errors)
{
}

void FieldReader::report(const YAML::Node& node, const std::string& field, std::string reason)
{
    m_errors.push_back({ node.Mark().line + 1, field, std::move(reason) });
}

std::optional<YAML::Node> FieldReader::find(const char* name, Presence presence)
{
    for (YAML::const_iterator it = m_map.begin(); it != m_map.end(); ++it) {
        if (it->first.IsScalar() && it->first.Scalar() == name)
            return it->second;
    }
    if (presence == Presence::Required)
        report(m_map, m_path + "." + name, "is missing");
    else if (m_requireAll)
        report(m_map, m_path + "." + name, "is missing; a changed record must state every field, because omitted fields would be reset to their defaults");
    return std::nullopt;
}

void FieldReader::reportUnknown()
{
    std::set<std::string> seen;
    for (YAML::const_iterator it = m_map.begin(); it != m_map.end(); ++it) {
        std::string name = it->first.IsScalar() ? it->first.Scalar() : "?";
        if (!m_visitedFields.contains(name))
            report(it->first, m_path + "." + name, "is not a known field");
        else if (!seen.insert(name).second)
            report(it->first, m_path + "." + name, "is given twice");
    }
}

std::optional<std::string> FieldReader::readText(const YAML::Node& node, const std::string& field)
{
    if (node.IsScalar())
        return node.Scalar();
    report(node, field, "must be a scalar value");
    return std::nullopt;
}

std::optional<int64_t> FieldReader::readInteger(const YAML::Node& node, const std::string& field, FieldRule rule)
{
    std::optional<std::string> text = readText(node, field);
    if (!text)
        return std::nullopt;
    int64_t number = 0;
    std::from_chars_result parsed = std::from_chars(text->data(), text->data() + text->size(), number);
    Range range = rangeOf(rule);
    if (parsed.ec == std::errc() && parsed.ptr == text->data() + text->size() && number >= range.lowest && number <= range.highest)
        return number;
    report(node, field, "must be a whole number from " + std::to_string(range.lowest) + " to " + std::to_string(range.highest));
    return std::nullopt;
}

void FieldReader::read(const YAML::Node& node, const std::string& field, std::string& value, FieldRule rule)
{
    std::optional<std::string> text = readText(node, field);
    if (!text)
        return;
    if (!isValidName(*text, rule))
        return report(node, field, describeNameRule(rule));
    value = *text;
}

void FieldReader::read(const YAML::Node& node, const std::string& field, int& value, FieldRule rule)
{
    if (std::optional<int64_t> number = readInteger(node, field, rule))
        value = static_cast<int>(*number);
}

void FieldReader::read(const YAML::Node& node, const std::string& field, int64_t& value, FieldRule rule)
{
    if (std::optional<int64_t> number = readInteger(node, field, rule))
        value = *number;
}

void FieldReader::read(const YAML::Node& node, const std::string& field, bool& value, FieldRule)
{
    std::optional<std::string> text = readText(node, field);
    if (!text)
        return;
    if (*text != "true" && *text != "false")
        return report(node, field, "must be true or false");
    value = *text == "true";
}

void FieldReader::read(const YAML::Node& node, const std::string& field, EndpointKind& value, FieldRule)
{
    std::optional<std::string> text = readText(node, field);
    if (!text)
        return;
    if (*text != "engine" && *text != "service")
        return report(node, field, "must be engine or service");
    value = *text == "engine" ? EndpointKind::Engine : EndpointKind::Service;
}

void FieldReader::read(const YAML::Node& node, const std::string& field, Core::Address& value, FieldRule)
{
    std::optional<std::string> text = readText(node, field);
    if (!text)
        return;
    Core::Reason reason;
    std::optional<Core::Address> address = Core::Address::parse(*text, reason);
    if (!address || address->port == 0)
        return report(node, field, address ? "the port must not be 0" : reason.message);
    value = *address;
}

void FieldReader::read(const YAML::Node& node, const std::string& field, std::vector<std::string>& value, FieldRule rule)
{
    if (!node.IsSequence())
        return report(node, field, "must be a list");
    std::set<std::string> seen;
    for (size_t i = 0; i < node.size(); ++i) {
        std::string text;
        size_t errorsBefore = m_errors.size();
        read(node[i], field + "[" + std::to_string(i) + "]", text, rule);
        if (m_errors.size() != errorsBefore)
            continue;
        if (!seen.insert(text).second)
            report(node[i], field + "[" + std::to_string(i) + "]", "is a duplicate");
        value.push_back(text);
    }
}

}
