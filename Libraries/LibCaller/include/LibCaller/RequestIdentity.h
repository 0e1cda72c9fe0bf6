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

// Workspace, budget, deadline and identity of an authenticated request.
struct RequestIdentity {
    std::string workspace;
    Ledger::BudgetId budget;
    int priority { 0 };
    std::string requestId;
    // Hash of the method, target and body. Detects an idempotency key that is reused for a different request.
    std::string fingerprint;
    bool hasIdempotencyKey { false };
    Core::Deadline deadline { Core::Deadline::never() };
    // Parent of the spans of the request's steps. Invalid if the request is not traced.
    Telemetry::TraceContext trace;
    bool operator==(const RequestIdentity&) const = default;

    // Common prefix of the identities of all attempts of this request.
    std::string attemptIdPrefix() const { return requestId + "." + fingerprint + "."; }
};

// Checks the request's bearer key and derives its identity. Sets the refusal on failure.
std::optional<RequestIdentity> authenticate(const HTTP::Request&, const Intent::FleetState&, Refusal&);

}
