#include "OperatorClient.h"

#include "LibCore/Address.h"
#include "LibHTTP/Client.h"
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <fstream>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>
#include <sstream>

DEFINE_string(daemon, "", "IP:PORT of a daemon's control address");
DEFINE_string(operator_key_file, "", "file that holds the operator key");
DECLARE_string(output);

using Core::FailureKind;

// Exceeds the time for which a daemon waits until a note is accepted and in force.
static constexpr std::chrono::seconds callTimeout { 30 };

bool OperatorClient::initialise(int& exitCode)
{
    exitCode = Commands::InvalidInput;
    Core::Reason reason;
    if (!Core::Address::parse(FLAGS_daemon, reason)) {
        std::fprintf(stderr, "jujuberelay: --daemon=IP:PORT: %s\n", reason.message.c_str());
        return false;
    }
    if (FLAGS_operator_key_file.empty()) {
        std::fprintf(stderr, "jujuberelay: --operator_key_file is required\n");
        return false;
    }
    std::optional<std::string> key = readFile(FLAGS_operator_key_file);
    if (!key)
        return false;
    m_key = key->substr(0, key->find_last_not_of(" \t\r\n") + 1);
    if (m_key.empty() || m_key.find_first_of("\r\n") != std::string::npos) {
        std::fprintf(stderr, "jujuberelay: %s: must hold the operator key on one line\n", FLAGS_operator_key_file.c_str());
        return false;
    }
    m_daemon = FLAGS_daemon;
    exitCode = Commands::Success;
    return true;
}

static Core::Task<void> exchange(HTTP::Client& client, Core::Address address, HTTP::Request request, std::optional<HTTP::Response>& response, Core::Reason& reason)
{
    Core::Deadline deadline = Core::Deadline::after(callTimeout);
    response = co_await client.roundTrip(address, request, deadline, reason);
    bool mayRepeat = reason.kind == FailureKind::OutcomeUnknown && !deadline.hasPassed();
    if (!response && mayRepeat)
        response = co_await client.roundTrip(address, std::move(request), deadline, reason, HTTP::ConnectionUse::Fresh);
}

std::optional<HTTP::Response> OperatorClient::request(const std::string& method, const std::string& target, const std::string& body, int& exitCode)
{
    Core::Reason reason;
    Core::Address address = Core::Address::parse(m_daemon, reason).value();
    boost::asio::io_context context;
    HTTP::Client client(context.get_executor());
    HTTP::Request request { method, target, { { "Authorization", "Bearer " + m_key }, { "Content-Type", "application/json" } }, body };
    std::optional<HTTP::Response> response;
    Core::spawn(context.get_executor(), "operator call", exchange(client, address, std::move(request), response, reason));
    context.run();
    if (response)
        return response;
    bool isUnknown = reason.kind == FailureKind::OutcomeUnknown || reason.kind == FailureKind::TimedOut;
    const char* effect = method == "GET" || target == "/operator/check" ? "" : isUnknown ? "; the note may have been accepted"
                                                                                         : "; nothing was changed";
    std::fprintf(stderr, "jujuberelay: %s%s\n", reason.text().c_str(), effect);
    exitCode = Commands::Unreachable;
    return std::nullopt;
}

std::optional<nlohmann::json> OperatorClient::call(const std::string& method, const std::string& target, const std::string& body, unsigned& status, int& exitCode)
{
    std::optional<HTTP::Response> response = request(method, target, body, exitCode);
    if (!response)
        return std::nullopt;
    status = response->status;
    nlohmann::json json = nlohmann::json::parse(response->body, nullptr, false);
    if (!json.is_object()) {
        std::fprintf(stderr, "jujuberelay: %s: the reply to %s with status %u is not a JSON object\n", m_daemon.c_str(), target.c_str(), status);
        exitCode = Commands::Unreachable;
        return std::nullopt;
    }
    if (!json.contains("error"))
        return json;
    std::string code = memberText(json["error"], "code");
    std::string message = memberText(json["error"], "message");
    std::fprintf(stderr, "jujuberelay: %s: %s: %s\n", m_daemon.c_str(), code.c_str(), message.c_str());
    exitCode = status >= 500 ? Commands::Unreachable : Commands::InvalidInput;
    return std::nullopt;
}

std::optional<bool> isJsonOutput(int& exitCode)
{
    if (FLAGS_output == "json" || FLAGS_output == "table")
        return FLAGS_output == "json";
    std::fprintf(stderr, "jujuberelay: --output=%s: must be table or json\n", FLAGS_output.c_str());
    exitCode = Commands::InvalidInput;
    return std::nullopt;
}

void printTable(const std::vector<std::vector<std::string>>& rows)
{
    std::vector<size_t> widths;
    for (const std::vector<std::string>& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (size_t column = 0; column < row.size(); ++column)
            widths[column] = std::max(widths[column], row[column].size());
    }
    for (const std::vector<std::string>& row : rows) {
        std::string line;
        for (size_t column = 0; column < row.size(); ++column) {
            bool isLast = column + 1 == row.size();
            line += row[column] + (isLast ? "" : std::string(widths[column] - row[column].size() + 2, ' '));
        }
        std::printf("%s\n", line.c_str());
    }
}

std::string memberText(const nlohmann::json& object, const char* name)
{
    if (!object.is_object() || !object.contains(name))
        return "";
    const nlohmann::json& value = object[name];
    return value.is_string() ? value.get<std::string>() : value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

nlohmann::json memberList(const nlohmann::json& object, const char* name)
{
    if (!object.is_object() || !object.contains(name) || !object[name].is_array())
        return nlohmann::json::array();
    return object[name];
}

std::optional<std::string> readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::stringstream content;
    content << file.rdbuf();
    if (file && !file.bad())
        return content.str();
    std::fprintf(stderr, "jujuberelay: %s: cannot be read\n", path.c_str());
    return std::nullopt;
}
