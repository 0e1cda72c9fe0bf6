#pragma once

#include "Commands.h"
#include "LibHTTP/Message.h"
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

// Client of the operator API of the daemon given by --daemon, authenticated with the key in --operator_key_file. Errors
// are printed to standard error.
class OperatorClient {
public:
    // Validates the flags. Returns false and sets the exit code InvalidInput if they are invalid.
    bool initialise(int& exitCode);

    // Sends one request. Returns no value and sets the exit code Unreachable if no reply was received. A request whose
    // reply was lost is repeated once. This is safe for all paths, because notes are deduplicated by identity.
    std::optional<HTTP::Response> request(const std::string& method, const std::string& target, const std::string& body, int& exitCode);

    // Like request(), and parses the JSON body. Prints an error and returns no value if the reply has an "error" member
    // or is not a JSON object.
    std::optional<nlohmann::json> call(const std::string& method, const std::string& target, const std::string& body, unsigned& status, int& exitCode);

private:
    std::string m_key;
    std::string m_daemon;
};

// Returns whether --output is json. Returns no value and sets the exit code InvalidInput if it is neither table nor json.
std::optional<bool> isJsonOutput(int& exitCode);

// Prints aligned columns; the first row is the heading.
void printTable(const std::vector<std::vector<std::string>>& rows);

// Returns a member of a reply as text: strings without quotes, other values as JSON, and an empty string if absent.
std::string memberText(const nlohmann::json& object, const char* name);

// Returns an array member of a reply, or an empty array if it is absent or of another type.
nlohmann::json memberList(const nlohmann::json& object, const char* name);

// Reads a whole file. On failure, prints an error to standard error and returns no value.
std::optional<std::string> readFile(const std::string& path);
