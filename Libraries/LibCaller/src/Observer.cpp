#include "LibCaller/Observer.h"

namespace Caller {

const char* nameOf(RequestOutcome outcome)
{
    switch (outcome) {
    case RequestOutcome::Answered:
        return "answered";
    case RequestOutcome::NotRun:
        return "not_run";
    case RequestOutcome::Unknown:
        return "unknown";
    case RequestOutcome::BrokenOff:
        return "broken_off";
    case RequestOutcome::CallerGone:
        return "caller_gone";
    }
    return "unknown";
}

}
