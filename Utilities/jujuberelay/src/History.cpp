#include "OperatorClient.h"
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

DEFINE_uint64(after, 0, "history: print the notes after this generation");
DEFINE_uint64(limit, 1000, "history: largest number of notes");

using nlohmann::json;

namespace Commands {

static std::string timeText(int64_t unixMs)
{
    std::time_t seconds = static_cast<std::time_t>(unixMs / 1000);
    std::tm utc {};
    char text[32];
    gmtime_r(&seconds, &utc);
    std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &utc);
    return text;
}

int history(const Arguments&)
{
    int exitCode = Success;
    unsigned status = 0;
    OperatorClient client;
    std::optional<bool> isJson = isJsonOutput(exitCode);
    if (!isJson || !client.initialise(exitCode))
        return exitCode;
    std::string target = "/operator/history?after=" + std::to_string(FLAGS_after) + "&limit=" + std::to_string(FLAGS_limit);
    std::optional<json> reply = client.call("GET", target, "", status, exitCode);
    if (!reply)
        return exitCode;
    if (*isJson) {
        std::printf("%s\n", reply->dump(2).c_str());
        return Success;
    }
    std::vector<std::vector<std::string>> rows { { "GENERATION", "ACCEPTED AT", "AUTHOR", "IDENTITY" } };
    for (const json& note : memberList(*reply, "notes"))
        rows.push_back({ memberText(note, "generation"), timeText(std::strtoll(memberText(note, "accepted_at_unix_ms").c_str(), nullptr, 10)), memberText(note, "author"), memberText(note, "identity") });
    printTable(rows);
    return Success;
}

}
