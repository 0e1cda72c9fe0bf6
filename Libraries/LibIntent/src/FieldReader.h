#pragma once

#include "Fields.h"
#include "LibIntent/NoteError.h"
#include <charconv>
#include <set>
#include <string>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace Intent {

// Whether the text satisfies the rule for names.
bool isValidName(const std::string&, FieldRule);

// Visitor of visitFields that fills a record from a YAML map and reports every error with its line.
class FieldReader {
public:
    // With `requireAll`, a missing optional field is an error too.
    FieldReader(const YAML::Node& map, std::string path, bool requireAll, std::vector<NoteError>&);

    template <typename Value>
    void operator()(const char* name, Value& value, FieldRule rule, Presence presence)
    {
        m_known.insert(name);
        if (std::optional<YAML::Node> node = find(name, presence))
            read(*node, m_path + "." + name, value, rule);
    }

    // Reports the fields that no call asked for.
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
    std::set<std::string> m_known;
};

}
