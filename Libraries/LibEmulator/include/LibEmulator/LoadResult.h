#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace Emulator {

struct LatencySummary {
    double medianMs { 0 };
    double percentile95Ms { 0 };
    double percentile99Ms { 0 };
    double maxMs { 0 };
};

// The code and the "ran" field of a refusal.
struct RefusalKind {
    std::string code;
    std::string ran;
    auto operator<=>(const RefusalKind&) const = default;
};

// What became of a load's requests. Each request is counted once, by its last attempt.
struct LoadResult {
    int64_t sent { 0 };
    int64_t complete { 0 };
    // Part of complete: answers that took more than one attempt.
    int64_t completeAfterRetry { 0 };
    std::map<RefusalKind, int64_t> refused;
    // Answers that broke off, or whose connection was lost before the response.
    int64_t broken { 0 };
    // Requests whose target could not be reached, so that nothing was sent.
    int64_t unreachable { 0 };
    // Whole answers that are not the caller's own, and broken ones that do not start as the caller's own does.
    int64_t wrong { 0 };
    // Attempts after the first of a request.
    int64_t retries { 0 };
    int64_t promptTokens { 0 };
    int64_t completionTokens { 0 };
    double seconds { 0 };
    LatencySummary firstToken;
    LatencySummary betweenTokens;
    // What was wrong with the first wrong answer.
    std::string firstWrongAnswer;

    std::string toJson() const;
    std::string toTable() const;
};

}
