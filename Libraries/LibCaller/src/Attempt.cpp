#include "LibCaller/Attempt.h"

#include "LibCore/Random.h"
#include "RequestSpan.h"
#include <algorithm>
#include <chrono>

namespace Caller {

// A daemon forwards nothing after the deadline of a request. The margin covers clock drift and the transfer of the record.
static constexpr std::chrono::seconds recordMargin(5);

static constexpr size_t nonceDigits = 16;
static constexpr std::chrono::milliseconds lookupTimeout(1000);

static int64_t wallClockMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

static std::string newAttemptId(const RequestIdentity& identity)
{
    return identity.attemptIdPrefix() + Core::randomIdentifier().substr(0, nonceDigits);
}

Attempt::Attempt(const Hooks& hooks, const RequestIdentity& identity)
    : m_hooks(hooks)
    , m_identity(identity)
    , m_attemptId(newAttemptId(identity))
{
}

Core::Task<bool> Attempt::acquireHold(Ledger::Tokens tokens, Refusal& refusal)
{
    Telemetry::Span span = startRequestSpan(m_hooks, m_identity, "budget", Telemetry::SpanKind::Internal);
    span.setAttribute("tokens", tokens);
    Core::Reason reason;
    m_hold = co_await m_hooks.acquire(m_identity.budget, tokens, m_identity.deadline, reason);
    if (m_hold)
        co_return true;
    span.setError(reason.text());
    if (reason.kind == Core::FailureKind::Refused)
        refusal = notRunRefusal("budget_exhausted", 402, reason);
    else if (reason.kind == Core::FailureKind::NotFound)
        refusal = notRunRefusal("unknown_budget", 402, reason);
    else
        refusal = notRunRefusal("platform_unavailable", 503, reason, 1000);
    co_return false;
}

Core::Deadline Attempt::recordDeadline() const
{
    return Core::Deadline(m_identity.deadline.at() + recordMargin);
}

Core::Task<bool> Attempt::open(const Route& route, Refusal& refusal)
{
    bool mayBeRetry = m_identity.hasIdempotencyKey && !m_isRecorded;
    if (m_isRecorded) {
        // The record contains the endpoint and cannot be changed at the witness, so a new identity is required.
        m_hooks.discardAttempt(m_attemptId);
        m_attemptId = newAttemptId(m_identity);
        m_isRecorded = false;
    }
    Witness::Record record;
    record.attemptId = m_attemptId;
    record.requestId = m_identity.requestId;
    record.budget = m_identity.budget;
    record.owner = m_hooks.self;
    record.tokensHeld = m_hold->tokens;
    record.endpoint = route.endpoint;
    record.streamId = record.attemptId;
    record.deadline = recordDeadline();
    Telemetry::Span span = startRequestSpan(m_hooks, m_identity, "witness open", Telemetry::SpanKind::Client);
    Core::Reason reason;
    std::optional<Hooks::OpenResult> opened = co_await m_hooks.openAttempt(record, mayBeRetry, m_identity.deadline, reason);
    if (!opened) {
        span.setError(reason.text());
        refusal = notRunRefusal("witness_unavailable", 503, reason, 1000);
        co_return false;
    }
    if (!opened->existing) {
        m_record = std::move(record);
        m_isRecorded = true;
        co_return true;
    }
    if (!opened->existing->attemptId.starts_with(m_identity.attemptIdPrefix())) {
        refusal = { "idempotency_key_reused", 422, ExecutionStatus::NotRun, "compare request", "caller",
            "the Idempotency-Key was used for a different request", 0 };
        co_return false;
    }
    joinRecord(std::move(*opened->existing));
    co_return true;
}

Core::Task<bool> Attempt::joinExisting()
{
    if (!m_identity.hasIdempotencyKey || m_isRecorded || m_isJoined)
        co_return false;
    Core::Deadline deadline = std::min(m_identity.deadline, Core::Deadline::after(lookupTimeout));
    std::optional<Witness::Record> existing = co_await m_hooks.findAttempt(m_identity.requestId, recordDeadline(), deadline);
    if (!existing || !existing->attemptId.starts_with(m_identity.attemptIdPrefix()))
        co_return false;
    joinRecord(std::move(*existing));
    co_return true;
}

void Attempt::joinRecord(Witness::Record existing)
{
    if (m_hold)
        m_hooks.release(*m_hold);
    m_hold.reset();
    m_record = std::move(existing);
    m_isJoined = true;
}

Ledger::Usage Attempt::makeUsage(Ledger::Tokens used, Ledger::UsageKind kind) const
{
    Ledger::Usage usage;
    usage.attemptId = m_record.attemptId;
    usage.requestId = m_record.requestId;
    usage.budget = m_record.budget;
    // A joined attempt is charged to the daemon that dispatched it.
    usage.holder = m_record.owner;
    usage.tokens = used;
    usage.kind = kind;
    usage.endedAtMs = wallClockMs();
    return usage;
}

Core::Task<bool> Attempt::persistUsage(Ledger::Tokens used, Ledger::UsageKind kind, Core::Deadline deadline, Core::Reason& reason)
{
    Telemetry::Span span = startRequestSpan(m_hooks, m_identity, "witness close", Telemetry::SpanKind::Client);
    span.setAttribute("tokens", used);
    bool isDurable = co_await m_hooks.closeAttempt(makeUsage(used, kind), deadline, reason);
    if (!isDurable)
        span.setError(reason.text());
    co_return isDurable;
}

void Attempt::settle(Ledger::Tokens used, Ledger::UsageKind kind)
{
    if (m_hold)
        m_hooks.settle(*m_hold, used);
    m_hold.reset();
    m_hooks.queueBill(makeUsage(used, kind));
}

void Attempt::releaseUnsent()
{
    if (m_isRecorded && !m_isJoined)
        m_hooks.discardAttempt(m_record.attemptId);
    if (m_hold)
        m_hooks.release(*m_hold);
    m_hold.reset();
}

void Attempt::leave()
{
    m_hooks.leaveAttempt(m_record.attemptId);
    if (m_hold)
        m_hooks.release(*m_hold);
    m_hold.reset();
}

}
