#pragma once

#include "LibCore/Reason.h"
#include "LibHTTP/Message.h"
#include <cstdint>
#include <string>

namespace Caller {

enum class ExecutionStatus {
    // The request was never sent to an endpoint.
    NotRun,
    // The request may have run.
    Unknown,
};

// Error response to a caller. Callers may rely on the code, which is part of the API.
struct Refusal {
    std::string code;
    unsigned status { 503 };
    ExecutionStatus ran { ExecutionStatus::NotRun };
    std::string step;
    std::string peer;
    std::string message;
    // Delay after which a retry may succeed; 0 for none.
    int64_t retryAfterMs { 0 };
    bool operator==(const Refusal&) const = default;

    std::string json() const;
    HTTP::Response response() const;
};

Refusal badRequestRefusal(std::string step, std::string message);
Refusal notRunRefusal(std::string code, unsigned status, const Core::Reason&, int64_t retryAfterMs = 0);
Refusal unknownOutcomeRefusal(std::string code, unsigned status, const Core::Reason&, int64_t retryAfterMs = 0);

}
