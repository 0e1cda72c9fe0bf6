#pragma once

#include "LibCaller/Observer.h"
#include "LibCaller/Refusal.h"
#include "LibCore/Address.h"
#include "LibCore/Async.h"
#include "LibIntent/FleetState.h"
#include "LibLedger/Submitter.h"
#include "LibTelemetry/Span.h"
#include "LibWitness/Record.h"
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Caller {

// Tokens of a budget that are reserved for one attempt.
struct Hold {
    Ledger::BudgetId budget;
    Ledger::Tokens tokens { 0 };
    bool operator==(const Hold&) const = default;
};

struct RouteQuery {
    std::string workspace;
    // Empty for a plain service.
    std::string model;
    std::string service;
    int priority { 0 };
    // The start of the prompt, for prefix affinity.
    std::string prefix;
    // Endpoints that failed before the request could run there.
    std::set<std::string> excluded;
};

struct Route {
    std::string endpoint;
    Core::Address address;
    // Identifies the request in finishRoute. Unique within this daemon.
    uint64_t ticket { 0 };
    bool operator==(const Route&) const = default;
};

// Result of an attempt at an endpoint, for load estimates, ejection and retry budgets.
struct RouteResult {
    bool succeeded { false };
    bool isEndpointFault { false };
};

// Dependencies of the request handlers on the rest of the daemon.
struct Hooks {
    Ledger::Holder self;
    uint32_t shardCount { 1 };

    std::function<std::shared_ptr<const Intent::FleetState>()> state;

    // Returns a refusal if no requests may be dispatched at the moment, for example because of draining or stale intent.
    std::function<std::optional<Refusal>()> checkAdmission;

    // Reserves tokens. Fails with Refused if the budget is exhausted, with NotFound if there is no such budget, and with
    // other kinds if the ledger did not answer in time.
    std::function<Core::Task<std::optional<Hold>>(Ledger::BudgetId, Ledger::Tokens, Core::Deadline, Core::Reason&)> acquire;
    std::function<void(const Hold&, Ledger::Tokens used)> settle;
    std::function<void(const Hold&)> release;

    // Replicates the record of an attempt to a second host before its dispatch. If an attempt of the same request is
    // already recorded, returns its record and does not record the new one.
    struct OpenResult {
        std::optional<Witness::Record> existing;
    };
    std::function<Core::Task<std::optional<OpenResult>>(Witness::Record, bool mayBeRetry, Core::Deadline, Core::Reason&)> openAttempt;
    // Looks up the record of an earlier attempt of the same request.
    std::function<Core::Task<std::optional<Witness::Record>>(std::string requestId, Core::Deadline joinUntil, Core::Deadline)> findAttempt;
    // Whether a retry of the same request is reading the attempt's stream, which must not be cancelled in that case.
    std::function<Core::Task<bool>(std::string attemptId, Core::Deadline)> isJoined;
    // Records the attempt's usage at a second host or in the ledger.
    std::function<Core::Task<bool>(Ledger::Usage, Core::Deadline, Core::Reason&)> closeAttempt;
    // Deletes the record of an attempt that was never sent.
    std::function<void(const std::string& attemptId)> discardAttempt;
    // Leaves a joined attempt; its record stays with its owner.
    std::function<void(const std::string& attemptId)> leaveAttempt;
    // Queues the usage for the ledger.
    std::function<void(Ledger::Usage)> queueBill;

    // Waits for an endpoint with free capacity. Fails with Refused if no endpoint serves the query.
    std::function<Core::Task<std::optional<Route>>(RouteQuery, Core::Deadline, Core::Reason&)> chooseRoute;
    // Must be called exactly once for each chosen route.
    std::function<void(const Route&, RouteResult)> finishRoute;

    Ledger::Submit submit;

    Observer observer;

    // Starts a span with the given parent, or a new trace. The default records nothing.
    std::function<Telemetry::Span(std::string_view name, Telemetry::SpanKind, const std::optional<Telemetry::TraceContext>& parent)> startSpan
        = [](std::string_view, Telemetry::SpanKind, const std::optional<Telemetry::TraceContext>&) { return Telemetry::Span(); };
};

}
