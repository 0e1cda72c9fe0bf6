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

// Tokens of a budget that are set aside for one attempt.
struct Hold {
    Ledger::BudgetId budget;
    Ledger::Tokens tokens { 0 };
    bool operator==(const Hold&) const = default;
};

struct RouteQuery {
    std::string workspace;
    // The model, or empty for a plain service.
    std::string model;
    std::string service;
    int priority { 0 };
    // The first part of the prompt, for prefix affinity.
    std::string prefix;
    // Endpoints that failed this request before it ran.
    std::set<std::string> excluded;
};

struct Route {
    std::string endpoint;
    Core::Address address;
    // Number of the request at this daemon, by which its end is counted.
    uint64_t ticket { 0 };
    bool operator==(const Route&) const = default;
};

// How an endpoint served an attempt; feeds load, ejection and retry budgets.
struct RouteResult {
    bool succeeded { false };
    bool isEndpointFault { false };
};

// What the handlers of requests need from the rest of the daemon.
struct Hooks {
    Ledger::Holder self;
    uint32_t shardCount { 1 };

    std::function<std::shared_ptr<const Intent::FleetState>()> state;

    // Why new work may not be dispatched now (draining, stale intent), if so.
    std::function<std::optional<Refusal>()> admission;

    // Refused: the budget is exhausted. Other kinds: the ledger could not be asked in time.
    std::function<Core::Task<std::optional<Hold>>(Ledger::BudgetId, Ledger::Tokens, Core::Deadline, Core::Reason&)> acquire;
    std::function<void(const Hold&, Ledger::Tokens used)> settle;
    std::function<void(const Hold&)> release;

    // Records the attempt at a second host before its dispatch. The result holds the record of an earlier attempt of
    // the same request, if there is one; the new attempt is then not recorded.
    struct Opened {
        std::optional<Witness::Record> existing;
    };
    std::function<Core::Task<std::optional<Opened>>(Witness::Record, bool mayBeRetry, Core::Deadline, Core::Reason&)> openAttempt;
    // Looks for the record of an earlier attempt of the same request without recording a new one.
    std::function<Core::Task<std::optional<Witness::Record>>(std::string requestId, Core::Deadline joinUntil, Core::Deadline)> findAttempt;
    // Whether a retry of the same request reads the attempt's stream, which must then not be cancelled.
    std::function<Core::Task<bool>(std::string attemptId, Core::Deadline)> isJoined;
    // Records the attempt's usage at a second host or in the ledger.
    std::function<Core::Task<bool>(Ledger::Usage, Core::Deadline, Core::Reason&)> closeAttempt;
    // Drops the record of an attempt that was never sent.
    std::function<void(const std::string& attemptId)> forgetAttempt;
    // Leaves the record of a joined attempt to its owner.
    std::function<void(const std::string& attemptId)> leaveAttempt;
    // Queues the usage for the ledger.
    std::function<void(Ledger::Usage)> bill;

    // Waits for an endpoint with room. Refused: none serves the query.
    std::function<Core::Task<std::optional<Route>>(RouteQuery, Core::Deadline, Core::Reason&)> choose;
    // Ends each chosen route exactly once.
    std::function<void(const Route&, RouteResult)> routeDone;

    Ledger::Submit submit;

    Observer observer;

    // Starts a span below the parent, or a new trace. The default records nothing.
    std::function<Telemetry::Span(std::string_view name, Telemetry::SpanKind, const std::optional<Telemetry::TraceContext>& parent)> startSpan
        = [](std::string_view, Telemetry::SpanKind, const std::optional<Telemetry::TraceContext>&) { return Telemetry::Span(); };
};

}
