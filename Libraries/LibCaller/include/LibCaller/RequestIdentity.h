#pragma once

#include "LibCaller/Refusal.h"
#include "LibCore/Deadline.h"
#include "LibHTTP/Message.h"
#include "LibIntent/FleetState.h"
#include "LibLedger/Entry.h"
#include "LibTelemetry/TraceContext.h"
#include <optional>
#include <string>

namespace Caller {

// Who sends a request, on which budget, until when, and under which identity.
struct RequestIdentity {
    std::string workspace;
    Ledger::BudgetId budget;
    int priority { 0 };
    std::string requestId;
    // Hash of the parts of the request that decide its answer. A key that is reused for another request is refused.
    std::string fingerprint;
    bool hasIdempotencyKey { false };
    Core::Deadline deadline { Core::Deadline::never() };
    // Parent of the spans of the request's steps; not valid when there is no trace.
    Telemetry::TraceContext trace;
    bool operator==(const RequestIdentity&) const = default;

    // What the identities of all attempts of this request start with.
    std::string attemptPrefix() const { return requestId + "." + fingerprint + "."; }
};

// Authenticates the request's bearer key and derives its identity, or fills in the refusal.
std::optional<RequestIdentity> identify(const HTTP::Request&, const Intent::FleetState&, Refusal&);

}
