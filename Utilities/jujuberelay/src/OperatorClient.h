#pragma once

#include "Commands.h"
#include "LibHTTP/Message.h"
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

// Calls the operator API of the daemon that --daemon names, with the key in --operator_key_file. Problems are printed to
// standard error.
class OperatorClient {
public:
    // Checks the flags; false and exit code InvalidInput if they are wrong.
    bool initialise(int& exitCode);

    // One request; without a value if no reply was received, with the exit code Unreachable. A request whose reply was
    // lost is repeated once, which is safe for all paths: a note is recognised by its identity.
    std::optional<HTTP::Response> request(const std::string& method, const std::string& target, const std::string& body, int& exitCode);

    // As request, and parses the JSON body. Replies with an "error" member and other bodies than JSON objects are
    // printed and give no value.
    std::optional<nlohmann::json> call(const std::string& method, const std::string& target, const std::string& body, unsigned& status, int& exitCode);

private:
    std::string m_key;
    std::string m_daemon;
};

// Whether --output is json; exit code InvalidInput and no value if it is neither table nor json.
std::optional<bool> isJsonOutput(int& exitCode);

// Prints rows in columns that are as wide as their widest cell; the first row is the heading.
void printTable(const std::vector<std::vector<std::string>>& rows);

// A member of a reply as text: a text without quotes, anything else as JSON; empty if it is absent.
std::string memberText(const nlohmann::json& object, const char* name);

// A member of a reply that is a list; an empty list if it is absent or something else.
nlohmann::json memberList(const nlohmann::json& object, const char* name);

// Reads a whole file; without a value and with a message on standard error if that fails.
std::optional<std::string> readFile(const std::string& path);
