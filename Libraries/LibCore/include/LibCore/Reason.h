#pragma once

#include <string>

namespace Core {

// What a failed operation says about its effect on the peer.
enum class FailureKind {
    NotFound,
    Conflict,
    Unavailable,
    RateLimited,
    TimedOut,
    Refused,
    Invalid,
    // The request may have reached the peer; every other kind had no effect.
    OutcomeUnknown,
};

// The last reason for an empty std::optional: the step that failed, the peer it failed at, and why.
struct Reason {
    FailureKind kind { FailureKind::Unavailable };
    std::string step;
    std::string peer;
    std::string message;

    // Formats the reason as "step at peer: message".
    std::string text() const;

    bool operator==(const Reason&) const = default;
};

const char* nameOf(FailureKind);

}
