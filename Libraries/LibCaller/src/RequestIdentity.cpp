#include "LibCaller/RequestIdentity.h"

#include "LibCore/Hash.h"
#include "LibCore/Random.h"
#include <algorithm>
#include <charconv>

namespace Caller {

static constexpr int64_t defaultTimeoutMs = 120'000;
static constexpr int64_t maxTimeoutMs = 600'000;
static constexpr size_t maxKeyBytes = 256;

static Refusal unauthorized(std::string message)
{
    return { "unauthorized", 401, ExecutionStatus::NotRun, "authenticate", "caller", std::move(message), 0 };
}

static const Intent::Key* findKey(const HTTP::Request& request, const Intent::FleetState& state, Refusal& refusal)
{
    static constexpr std::string_view scheme = "Bearer ";
    std::optional<std::string> authorization = HTTP::findHeader(request.headers, "Authorization");
    if (!authorization || !authorization->starts_with(scheme)) {
        refusal = unauthorized("the Authorization header must contain a bearer key");
        return nullptr;
    }
    std::string digest = Core::sha256Hex(std::string_view(*authorization).substr(scheme.size()));
    std::map<std::string, Intent::Key>::const_iterator key = state.keys.find(digest);
    if (key == state.keys.end()) {
        refusal = unauthorized("the bearer key belongs to no workspace");
        return nullptr;
    }
    return &key->second;
}

static std::optional<Core::Deadline> readDeadline(const HTTP::Request& request, Refusal& refusal)
{
    std::optional<std::string> text = HTTP::findHeader(request.headers, "X-Request-Timeout-Ms");
    int64_t timeoutMs = defaultTimeoutMs;
    if (text) {
        const char* end = text->data() + text->size();
        std::from_chars_result parsed = std::from_chars(text->data(), end, timeoutMs);
        if (parsed.ec != std::errc() || parsed.ptr != end || timeoutMs <= 0) {
            refusal = badRequestRefusal("read X-Request-Timeout-Ms", "expected a positive number of milliseconds");
            return std::nullopt;
        }
    }
    return Core::Deadline::after(std::chrono::milliseconds(std::min(timeoutMs, maxTimeoutMs)));
}

std::optional<RequestIdentity> authenticate(const HTTP::Request& request, const Intent::FleetState& state, Refusal& refusal)
{
    const Intent::Key* key = findKey(request, state, refusal);
    if (!key)
        return std::nullopt;
    std::map<std::string, Intent::Workspace>::const_iterator workspace = state.workspaces.find(key->workspace);
    if (workspace == state.workspaces.end()) {
        refusal = unauthorized("the workspace of the bearer key was withdrawn");
        return std::nullopt;
    }
    std::optional<Core::Deadline> deadline = readDeadline(request, refusal);
    if (!deadline)
        return std::nullopt;

    RequestIdentity identity;
    identity.workspace = key->workspace;
    identity.budget = { key->workspace, key->budget };
    identity.priority = workspace->second.priority;
    identity.deadline = *deadline;
    identity.fingerprint = Core::hash128Hex(request.method + " " + request.target + "\n" + request.body).substr(0, 16);
    std::optional<std::string> idempotencyKey = HTTP::findHeader(request.headers, "Idempotency-Key");
    if (idempotencyKey && (idempotencyKey->empty() || idempotencyKey->size() > maxKeyBytes)) {
        refusal = badRequestRefusal("read Idempotency-Key", "expected 1 to 256 bytes");
        return std::nullopt;
    }
    identity.hasIdempotencyKey = idempotencyKey.has_value();
    // The identity includes the budget, since claims are compared only within the ledger shard of the budget. The length
    // prefix makes the concatenation of budget and key unambiguous.
    std::string scope = identity.budget.text();
    identity.requestId = idempotencyKey
        ? Core::hash128Hex(std::to_string(scope.size()) + ":" + scope + *idempotencyKey)
        : Core::randomIdentifier();
    return identity;
}

}
