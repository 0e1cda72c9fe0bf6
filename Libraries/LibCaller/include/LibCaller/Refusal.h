#pragma once

#include "LibCore/Reason.h"
#include "LibHTTP/Message.h"
#include <cstdint>
#include <string>

namespace Caller {

enum class Ran {
    // Nothing was ever sent to an endpoint.
    NotRun,
    // The request may have run.
    Unknown,
};

// Why a request was not answered. The code is stable; callers may act on it.
struct Refusal {
    std::string code;
    unsigned status { 503 };
    Ran ran { Ran::NotRun };
    std::string step;
    std::string peer;
    std::string message;
    // When a retry may succeed, in milliseconds; 0 for no hint.
    int64_t retryAfterMs { 0 };
    bool operator==(const Refusal&) const = default;

    // The JSON body of the refusal.
    std::string json() const;
    HTTP::Response response() const;
};

Refusal badRequest(std::string step, std::string message);
Refusal notRun(std::string code, unsigned status, const Core::Reason&, int64_t retryAfterMs = 0);
Refusal unknownOutcome(std::string code, unsigned status, const Core::Reason&, int64_t retryAfterMs = 0);

}
