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

// Reads settings files: YAML mappings whose keys are known in advance.
namespace SettingsReader {

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

Reader textReader(std::string&);
Reader addressReader(Core::Address&);
Reader addressListReader(std::vector<Core::Address>&);
Reader numberReader(int64_t&, int64_t lowest, int64_t highest);
Reader numberReader(uint32_t&, int64_t lowest, int64_t highest);
Reader fractionReader(double&, double lowest, double highest);
Reader switchReader(bool&);
Reader hexDigestReader(std::string&);
Reader choiceReader(std::string&, std::vector<std::string> choices);

// Fails with the place and the message.
std::nullopt_t fail(const std::string& place, const std::string& message, Core::Reason&);

// Reads the whole text into the fields. The reason names the file, the line, the key and what was expected.
bool readFields(const std::string& text, const std::string& fileName, const Fields&, Core::Reason&);

std::optional<std::string> readFile(const std::string& path, Core::Reason&);

}
