#include "LibCaller/ServiceHandler.h"

#include "LibCore/Random.h"
#include "RequestSpan.h"
#include "SendRefusal.h"
#include <algorithm>

namespace Caller {

static constexpr size_t maxStoredBodyBytes = 2048;
static constexpr std::chrono::milliseconds submitTimeout(2000);
static constexpr std::chrono::milliseconds initialSubmitDelay(200);
static constexpr std::chrono::milliseconds maxSubmitDelay(5000);
// How long the response of a claimed call is delayed until its outcome is stored. Until then, a retry gets "unknown".
static constexpr std::chrono::milliseconds storeOutcomeTimeout(3000);

struct ServiceHandler::Call {
    const HTTP::Request& request;
    const RequestIdentity& identity;
    Intent::Service service;
    // Request target relative to the path of the service.
    std::string target;
    // Distinguishes claims of the same request id. Starts with the fingerprint of the request, so that the stored outcome
    // of a different request with the same idempotency key is detected.
    std::string nonce;
};

ServiceHandler::ServiceHandler(const boost::asio::any_io_executor& executor, const Hooks& hooks, Endpoint::ServiceClient& client)
    : m_executor(executor)
    , m_hooks(hooks)
    , m_client(client)
{
}

static std::optional<std::string> splitTarget(const std::string& target, std::string& service)
{
    static constexpr size_t prefixLength = std::string_view("/services/").size();
    size_t end = target.find_first_of("/?", prefixLength);
    service = target.substr(prefixLength, end == std::string::npos ? end : end - prefixLength);
    if (service.empty())
        return std::nullopt;
    std::string rest = end == std::string::npos ? "" : target.substr(end);
    return rest.starts_with("/") ? rest : "/" + rest;
}

Core::Task<void> ServiceHandler::handle(const HTTP::Request& request, const RequestIdentity& identity, HTTP::ResponseWriter& writer)
{
    Core::Reason ignored;
    std::string name;
    std::optional<std::string> target = splitTarget(request.target, name);
    std::shared_ptr<const Intent::FleetState> state = m_hooks.state();
    std::map<std::string, Intent::Service>::const_iterator service = state->services.find(name);
    if (!target || service == state->services.end()) {
        Core::Reason reason { Core::FailureKind::NotFound, "find service", "intent", "no service has the name " + name };
        co_return co_await sendRefusal(m_hooks.observer, notRunRefusal("unknown_service", 404, reason), writer);
    }
    Call call { request, identity, service->second, *target, identity.fingerprint + Core::randomIdentifier() };
    bool isSafe = request.method == "GET" || request.method == "HEAD";
    Refusal refusal;
    std::optional<HTTP::Response> response = call.service.isRepeatable || isSafe
        ? co_await runRepeatable(call, refusal)
        : co_await runOnce(call, refusal);
    if (!response)
        co_return co_await sendRefusal(m_hooks.observer, refusal, writer);
    bool isSent = co_await writer.send(std::move(*response), ignored);
    m_hooks.observer.onEnded(isSent ? RequestOutcome::Answered : RequestOutcome::CallerGone);
}

static HTTP::Request forwardedRequest(const HTTP::Request& request, const std::string& target, const RequestIdentity& identity, const std::string& traceParent)
{
    static const std::set<std::string> forwardedHeaders { "content-type", "accept", "idempotency-key" };
    HTTP::Request forwarded;
    forwarded.method = request.method;
    forwarded.target = target;
    forwarded.body = request.body;
    for (const HTTP::Header& header : request.headers) {
        std::string name = header.name;
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
        if (forwardedHeaders.contains(name))
            forwarded.headers.push_back(header);
    }
    forwarded.headers.push_back({ "X-Workspace", identity.workspace });
    forwarded.headers.push_back({ "X-Request-Id", identity.requestId });
    if (!traceParent.empty())
        forwarded.headers.push_back({ "traceparent", traceParent });
    return forwarded;
}

// Removes all headers but Content-Type, since the others concern the connection to the endpoint.
static HTTP::Response stripConnectionHeaders(HTTP::Response response)
{
    std::optional<std::string> contentType = HTTP::findHeader(response.headers, "Content-Type");
    response.headers.clear();
    if (contentType)
        response.headers.push_back({ "Content-Type", *contentType });
    return response;
}

Core::Task<std::optional<HTTP::Response>> ServiceHandler::sendToEndpoint(Call& call, bool& mayHaveRun, Refusal& refusal)
{
    RouteQuery query;
    query.workspace = call.identity.workspace;
    query.service = call.service.name;
    query.priority = call.identity.priority;
    for (;;) {
        Core::Reason reason;
        Telemetry::Span queueSpan = startRequestSpan(m_hooks, call.identity, "queue", Telemetry::SpanKind::Internal);
        std::optional<Route> route = co_await m_hooks.chooseRoute(query, call.identity.deadline, reason);
        if (!route)
            queueSpan.setError(reason.text());
        queueSpan.end();
        if (!route) {
            if (query.excluded.empty())
                refusal = notRunRefusal("no_endpoint", 503, reason, 1000);
            co_return std::nullopt;
        }
        HTTP::SendGuard guard = [this, &call] { return !m_hooks.checkAdmission() && !call.identity.deadline.hasPassed(); };
        Telemetry::Span span = startRequestSpan(m_hooks, call.identity, "endpoint", Telemetry::SpanKind::Client);
        span.setAttribute("endpoint", route->endpoint);
        HTTP::Request forwarded = forwardedRequest(call.request, call.target, call.identity, traceParentOf(span, call.identity));
        std::optional<HTTP::Response> response = co_await m_client.call(
            route->address, std::move(forwarded), call.identity.deadline, guard, reason);
        if (!response)
            span.setError(reason.text());
        span.end();
        m_hooks.finishRoute(*route, { response.has_value(), !response && reason.kind != Core::FailureKind::Refused });
        if (response) {
            mayHaveRun = true;
            co_return stripConnectionHeaders(std::move(*response));
        }
        if (reason.kind == Core::FailureKind::OutcomeUnknown) {
            mayHaveRun = true;
            refusal = unknownOutcomeRefusal("endpoint_failed", 502, reason);
            co_return std::nullopt;
        }
        refusal = notRunRefusal("endpoint_failed", 502, reason, 1000);
        if (reason.kind == Core::FailureKind::Refused || call.identity.deadline.hasPassed())
            co_return std::nullopt;
        query.excluded.insert(route->endpoint);
    }
}

Core::Task<std::optional<HTTP::Response>> ServiceHandler::runRepeatable(Call& call, Refusal& refusal)
{
    Attempt attempt(m_hooks, call.identity);
    if (!co_await attempt.acquireHold(call.service.priceTokens, refusal))
        co_return std::nullopt;
    // Recorded with the name of the service, since a retry may use any of its endpoints and there is no stream to resume.
    if (!co_await attempt.open({ call.service.name, {}, 0 }, refusal)) {
        attempt.releaseUnsent();
        co_return std::nullopt;
    }
    bool mayHaveRun = false;
    std::optional<HTTP::Response> response = co_await sendToEndpoint(call, mayHaveRun, refusal);
    if (!mayHaveRun) {
        attempt.releaseUnsent();
        co_return std::nullopt;
    }
    Ledger::UsageKind kind = response ? Ledger::UsageKind::Complete : Ledger::UsageKind::BrokenOff;
    Core::Reason reason;
    bool isDurable = co_await attempt.persistUsage(call.service.priceTokens, kind, call.identity.deadline, reason);
    attempt.settle(call.service.priceTokens, kind);
    if (response && !isDurable) {
        refusal = unknownOutcomeRefusal("witness_unavailable", 503, reason, 1000);
        co_return std::nullopt;
    }
    co_return response;
}

Core::Task<bool> ServiceHandler::submitEntry(Ledger::Entry entry, Core::Deadline deadline, Ledger::EntryResult& result, Core::Reason& reason)
{
    uint32_t shard = Ledger::shardOf(Ledger::budgetOf(entry), m_hooks.shardCount);
    std::vector<Ledger::Entry> entries { std::move(entry) };
    std::optional<std::vector<Ledger::EntryResult>> results = co_await m_hooks.submit(shard, std::move(entries), deadline, reason);
    if (!results || results->size() != 1)
        co_return false;
    result = results->front();
    co_return true;
}

Core::Task<bool> ServiceHandler::claim(Call& call, std::optional<HTTP::Response>& stored, Refusal& refusal)
{
    Ledger::Claim claim;
    claim.requestId = call.identity.requestId;
    claim.budget = call.identity.budget;
    claim.price = call.service.priceTokens;
    claim.claimant = m_hooks.self;
    claim.nonce = call.nonce;
    claim.claimedAtMs = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    Core::Reason reason;
    Ledger::EntryResult result;
    if (!co_await submitEntry(claim, call.identity.deadline, result, reason)) {
        // The claim may still be written. Without a release, the request id would stay claimed forever.
        Core::spawn(m_executor, "release claim", submitWithRetries(Ledger::Void { claim.requestId, claim.budget, claim.nonce }));
        refusal = notRunRefusal("platform_unavailable", 503, reason, 1000);
        co_return false;
    }
    std::string peer = "ledger";
    switch (result.code) {
    case Ledger::ResultCode::Applied:
    case Ledger::ResultCode::Duplicate:
        co_return true;
    case Ledger::ResultCode::AlreadyClaimed:
        if (result.existing && result.existing->outcome) {
            const Ledger::Outcome& outcome = *result.existing->outcome;
            if (!outcome.nonce.starts_with(call.identity.fingerprint)) {
                refusal = { "idempotency_key_reused", 422, ExecutionStatus::NotRun, "claim", "caller", "the Idempotency-Key was used for a different request", 0 };
                co_return false;
            }
            stored = HTTP::Response { outcome.status, { { "Content-Type", outcome.contentType }, { "Idempotent-Replay", "true" } }, outcome.body };
            co_return false;
        }
        if (result.existing)
            peer = result.existing->claimant.text();
        refusal = { "in_progress", 409, ExecutionStatus::Unknown, "claim", peer, "the call was dispatched earlier and has no stored answer", 1000 };
        co_return false;
    case Ledger::ResultCode::Exhausted:
        refusal = { "budget_exhausted", 402, ExecutionStatus::NotRun, "claim", peer, "the budget does not cover the call's price", 0 };
        co_return false;
    case Ledger::ResultCode::UnknownBudget:
        refusal = { "unknown_budget", 402, ExecutionStatus::NotRun, "claim", peer, "the budget has no top-up", 0 };
        co_return false;
    case Ledger::ResultCode::Rejected:
        break;
    }
    refusal = { "bad_request", 400, ExecutionStatus::NotRun, "claim", peer, "the ledger rejected the claim", 0 };
    co_return false;
}

Core::Task<std::optional<HTTP::Response>> ServiceHandler::runOnce(Call& call, Refusal& refusal)
{
    if (!call.identity.hasIdempotencyKey) {
        refusal = badRequestRefusal("read Idempotency-Key", "calls of this service may not be repeated and need an Idempotency-Key");
        co_return std::nullopt;
    }
    std::optional<HTTP::Response> stored;
    if (!co_await claim(call, stored, refusal))
        co_return stored;
    bool mayHaveRun = false;
    std::optional<HTTP::Response> response = co_await sendToEndpoint(call, mayHaveRun, refusal);
    if (!mayHaveRun) {
        Core::spawn(m_executor, "release claim",
            submitWithRetries(Ledger::Void { call.identity.requestId, call.identity.budget, call.nonce }));
        co_return std::nullopt;
    }
    if (!response)
        co_return std::nullopt;
    Ledger::Outcome outcome;
    outcome.requestId = call.identity.requestId;
    outcome.budget = call.identity.budget;
    outcome.nonce = call.nonce;
    outcome.status = response->status;
    outcome.contentType = HTTP::findHeader(response->headers, "Content-Type").value_or("application/octet-stream");
    outcome.body = response->body;
    if (outcome.body.size() > maxStoredBodyBytes) {
        // Too large to store. A retry is told that the call ran, but does not get its answer.
        outcome.contentType = "application/json";
        outcome.body = R"({"error":{"code":"already_ran","ran":"unknown","step":"claim","peer":"ledger","message":"the call ran; its answer was too large to store"}})";
        outcome.status = 409;
    }
    Core::Reason reason;
    Ledger::EntryResult result;
    if (!co_await submitEntry(outcome, Core::Deadline::after(storeOutcomeTimeout), result, reason))
        Core::spawn(m_executor, "store outcome", submitWithRetries(std::move(outcome)));
    co_return response;
}

Core::Task<void> ServiceHandler::submitWithRetries(Ledger::Entry entry)
{
    ++m_pendingOutcomes;
    std::chrono::milliseconds delay = initialSubmitDelay;
    for (;;) {
        Core::Reason reason;
        Ledger::EntryResult result;
        if (co_await submitEntry(entry, Core::Deadline::after(submitTimeout), result, reason))
            break;
        co_await Core::sleepUntil(Core::Deadline::after(delay));
        delay = std::min(delay * 2, maxSubmitDelay);
    }
    --m_pendingOutcomes;
}

}
