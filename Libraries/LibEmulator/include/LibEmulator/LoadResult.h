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

// The "code" and "ran" fields of an error response.
struct RefusalKind {
    std::string code;
    std::string ran;
    auto operator<=>(const RefusalKind&) const = default;
};

// Outcomes of the requests of a load run. Each request is counted once, by its last attempt.
struct LoadResult {
    int64_t sent { 0 };
    int64_t complete { 0 };
    // Subset of complete: answers that took more than one attempt.
    int64_t completeAfterRetry { 0 };
    std::map<RefusalKind, int64_t> refused;
    // Answers that were interrupted, or whose connection was lost before the response.
    int64_t broken { 0 };
    // Requests whose target was unreachable, so that nothing was sent.
    int64_t unreachable { 0 };
    // Complete answers that differ from the expected one, and interrupted ones that are no prefix of it.
    int64_t wrong { 0 };
    // Attempts beyond the first of each request.
    int64_t retries { 0 };
    int64_t promptTokens { 0 };
    int64_t completionTokens { 0 };
    double seconds { 0 };
    LatencySummary firstToken;
    LatencySummary betweenTokens;
    // Description of the first wrong answer.
    std::string firstWrongAnswer;

    std::string toJson() const;
    std::string toTable() const;
};

}
