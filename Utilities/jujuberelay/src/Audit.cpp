#include "OperatorClient.h"
#include <cstdio>
#include <nlohmann/json.hpp>

using nlohmann::json;

namespace Commands {

// Prints a table of objects, with the members of the first object as columns.
static void printObjects(const std::string& name, const json& list)
{
    std::printf("%s: %zu\n", name.c_str(), list.size());
    if (list.empty())
        return;
    std::vector<std::vector<std::string>> rows(1);
    for (const auto& [member, value] : list.front().items())
        rows.front().push_back(member);
    for (const json& object : list) {
        std::vector<std::string>& row = rows.emplace_back();
        for (const std::string& member : rows.front())
            row.push_back(memberText(object, member.c_str()));
    }
    printTable(rows);
}

int audit(const Arguments&)
{
    int exitCode = Success;
    unsigned status = 0;
    OperatorClient client;
    std::optional<bool> isJson = isJsonOutput(exitCode);
    if (!isJson || !client.initialise(exitCode))
        return exitCode;
    std::optional<json> reply = client.call("GET", "/operator/audit", "", status, exitCode);
    if (!reply)
        return exitCode;
    exitCode = memberList(*reply, "violations").empty() ? Success : Violation;
    if (*isJson) {
        std::printf("%s\n", reply->dump(2).c_str());
        return exitCode;
    }
    for (const auto& [name, value] : reply->items()) {
        if (value.is_array() && (value.empty() || value.front().is_object()))
            printObjects(name, value);
        else
            std::printf("%s: %s\n", name.c_str(), memberText(*reply, name.c_str()).c_str());
    }
    return exitCode;
}

}
