#include "OperatorClient.h"
#include <cstdio>
#include <nlohmann/json.hpp>

using nlohmann::json;

namespace Commands {

int status(const Arguments&)
{
    int exitCode = Success;
    unsigned httpStatus = 0;
    OperatorClient client;
    std::optional<bool> isJson = isJsonOutput(exitCode);
    if (!isJson || !client.initialise(exitCode))
        return exitCode;
    std::optional<json> reply = client.call("GET", "/operator/status", "", httpStatus, exitCode);
    if (!reply)
        return exitCode;
    exitCode = memberList(*reply, "missing").empty() ? Success : Pending;
    if (*isJson) {
        std::printf("%s\n", reply->dump(2).c_str());
        return exitCode;
    }
    std::printf("generation %s; %s\n", memberText(*reply, "generation").c_str(), memberText(*reply, "freshness").c_str());
    std::vector<std::vector<std::string>> rows { { "HOST", "FAILURE DOMAIN", "STATE", "GENERATION", "INCARNATION" } };
    for (const json& member : memberList(*reply, "members"))
        rows.push_back({ memberText(member, "host"), memberText(member, "failure_domain"), memberText(member, "state"), memberText(member, "generation"), memberText(member, "incarnation") });
    printTable(rows);
    return exitCode;
}

}
