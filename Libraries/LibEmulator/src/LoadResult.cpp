#include "LibEmulator/LoadResult.h"

#include <cstdio>
#include <nlohmann/json.hpp>

namespace Emulator {

using Json = nlohmann::json;

static Json jsonOf(const LatencySummary& summary)
{
    return { { "p50", summary.medianMs }, { "p95", summary.percentile95Ms }, { "p99", summary.percentile99Ms }, { "max", summary.maxMs } };
}

std::string LoadResult::toJson() const
{
    Json refusals = Json::array();
    for (const std::pair<const RefusalKind, int64_t>& entry : refused)
        refusals.push_back({ { "code", entry.first.code }, { "ran", entry.first.ran }, { "count", entry.second } });
    Json json = { { "sent", sent }, { "complete", complete }, { "complete_after_retry", completeAfterRetry }, { "refused", std::move(refusals) },
        { "broken", broken }, { "unreachable", unreachable }, { "wrong", wrong }, { "retries", retries }, { "prompt_tokens", promptTokens },
        { "completion_tokens", completionTokens }, { "seconds", seconds }, { "first_token_ms", jsonOf(firstToken) },
        { "between_tokens_ms", jsonOf(betweenTokens) }, { "first_wrong_answer", firstWrongAnswer } };
    return json.dump(2) + "\n";
}

static std::string row(const std::string& name, int64_t value)
{
    char line[160];
    std::snprintf(line, sizeof(line), "%-44s %10lld\n", name.c_str(), static_cast<long long>(value));
    return line;
}

static std::string row(const std::string& name, const LatencySummary& summary)
{
    char line[200];
    std::snprintf(line, sizeof(line), "%-22s %10.2f %10.2f %10.2f %10.2f\n", name.c_str(), summary.medianMs, summary.percentile95Ms,
        summary.percentile99Ms, summary.maxMs);
    return line;
}

std::string LoadResult::toTable() const
{
    std::string table = row("sent", sent) + row("complete", complete) + row("complete after a retry", completeAfterRetry);
    for (const std::pair<const RefusalKind, int64_t>& entry : refused)
        table += row("refused: " + entry.first.code + ", " + entry.first.ran, entry.second);
    table += row("broken", broken) + row("unreachable", unreachable) + row("wrong answers", wrong) + row("retries", retries)
        + row("prompt tokens", promptTokens) + row("completion tokens", completionTokens);
    char line[160];
    std::snprintf(line, sizeof(line), "%-44s %10.2f\n\n%-22s %10s %10s %10s %10s\n", "seconds", seconds, "ms", "p50", "p95", "p99", "max");
    table += line + row("first token", firstToken) + row("between tokens", betweenTokens);
    if (!firstWrongAnswer.empty())
        table += "\nfirst wrong answer: " + firstWrongAnswer + "\n";
    return table;
}

}
