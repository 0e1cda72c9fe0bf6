#include "LibCore/Reason.h"

namespace Core {

const char* nameOf(FailureKind kind)
{
    switch (kind) {
    case FailureKind::NotFound:
        return "not_found";
    case FailureKind::Conflict:
        return "conflict";
    case FailureKind::Unavailable:
        return "unavailable";
    case FailureKind::RateLimited:
        return "rate_limited";
    case FailureKind::TimedOut:
        return "timed_out";
    case FailureKind::Refused:
        return "refused";
    case FailureKind::Invalid:
        return "invalid";
    case FailureKind::OutcomeUnknown:
        return "outcome_unknown";
    }
    return "unknown";
}

std::string Reason::text() const
{
    return step + " at " + peer + ": " + message;
}

}
