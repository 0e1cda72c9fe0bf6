#pragma once

#include "LibCore/Deadline.h"
#include <cstdint>
#include <optional>

namespace Commands {

// A simulated request and its result.
struct ReplayRequest {
    uint64_t number { 0 };
    Core::SteadyClock::time_point arrival {};
    Core::Deadline deadline { Core::Deadline::never() };
    uint64_t prefix { 0 };
    // Set by the router that receives the request.
    uint64_t prefixHash { 0 };
    double prefixShare { 0 };
    int64_t uniqueTokens { 0 };
    int64_t answerTokens { 0 };

    std::optional<Core::SteadyClock::time_point> firstTokenAt;
    bool isPrefixHit { false };
    bool isShed { false };
};

}
