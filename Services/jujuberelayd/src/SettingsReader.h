#pragma once

#include "LibCore/Address.h"
#include "LibCore/Reason.h"
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace YAML {
class Node;
}

// Parses settings files: YAML mappings with a fixed set of keys.
namespace SettingsReader {

enum class Presence {
    Required,
    Optional,
};

// Parses the value of one key. Returns a description of the expected value on failure.
using Reader = std::function<std::optional<std::string>(const YAML::Node&)>;

struct Field {
    Presence presence;
    Reader read;
};

using Fields = std::map<std::string, Field>;

Reader stringReader(std::string&);
Reader stringListReader(std::vector<std::string>&);
Reader addressReader(Core::Address&);
Reader addressListReader(std::vector<Core::Address>&);
Reader integerReader(int64_t&, int64_t minimum, int64_t maximum);
Reader integerReader(uint32_t&, int64_t minimum, int64_t maximum);
Reader doubleReader(double&, double minimum, double maximum);
// A limit of at least 0. A number that is larger than the type is read as its maximum.
Reader limitReader(double&);
Reader boolReader(bool&);
Reader hexDigestReader(std::string&);
Reader choiceReader(std::string&, std::vector<std::string> choices);

// Sets the reason to an invalid setting at the location.
std::nullopt_t fail(const std::string& location, const std::string& message, Core::Reason&);

// Parses the text into the fields. The reason gives the file, line, key and expected value.
bool readFields(const std::string& text, const std::string& fileName, const Fields&, Core::Reason&);

std::optional<std::string> readFile(const std::string& path, Core::Reason&);

}
