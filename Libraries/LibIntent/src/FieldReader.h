#pragma once

#include "Fields.h"
#include "LibIntent/NoteError.h"
#include <charconv>
#include <set>
#include <string>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace Intent {

// Returns whether the text is a valid name under the rule.
bool isValidName(const std::string&, FieldRule);

// Visitor for visitFields that reads a record from a YAML map and reports every error with its line.
class FieldReader {
public:
    // If `requireAll` is set, missing optional fields are reported as errors as well.
    FieldReader(const YAML::Node& map, std::string path, bool requireAll, std::vector<NoteError>&);

    template <typename Value>
    void operator()(const char* name, Value& value, FieldRule rule, Presence presence)
    {
        m_visitedFields.insert(name);
        if (std::optional<YAML::Node> node = find(name, presence))
            read(*node, m_path + "." + name, value, rule);
    }

    // Reports duplicate fields and fields that were not visited.
    void reportUnknown();

private:
    std::optional<YAML::Node> find(const char* name, Presence);
    void report(const YAML::Node&, const std::string& field, std::string reason);
    std::optional<std::string> readText(const YAML::Node&, const std::string& field);
    std::optional<int64_t> readInteger(const YAML::Node&, const std::string& field, FieldRule);

    void read(const YAML::Node&, const std::string& field, std::string&, FieldRule);
    void read(const YAML::Node&, const std::string& field, int&, FieldRule);
    void read(const YAML::Node&, const std::string& field, int64_t&, FieldRule);
    void read(const YAML::Node&, const std::string& field, bool&, FieldRule);
    void read(const YAML::Node&, const std::string& field, EndpointKind&, FieldRule);
    void read(const YAML::Node&, const std::string& field, Core::Address&, FieldRule);
    void read(const YAML::Node&, const std::string& field, std::vector<std::string>&, FieldRule);

    YAML::Node m_map;
    std::string m_path;
    bool m_requireAll;
    std::vector<NoteError>& m_errors;
    std::set<std::string> m_visitedFields;
};

}
