#include "OperatorClient.h"
#include <cstdio>
#include <nlohmann/json.hpp>

namespace Commands {

int state(const Arguments&)
{
    int exitCode = Success;
    unsigned status = 0;
    OperatorClient client;
    std::optional<bool> isJson = isJsonOutput(exitCode);
    if (!isJson || !client.initialise(exitCode))
        return exitCode;
    std::optional<nlohmann::json> reply = client.call("GET", "/operator/state", "", status, exitCode);
    if (!reply)
        return exitCode;
    if (*isJson)
        std::printf("%s\n", reply->dump(2).c_str());
    else
        std::printf("%s", memberText(*reply, "note").c_str());
    return Success;
}

}
