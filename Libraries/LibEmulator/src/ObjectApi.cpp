#include "LibPlatform/ObjectCodec.h"
#include "PlatformState.h"
#include <charconv>

namespace Emulator {

using namespace std::chrono_literals;
using Core::FailureKind;

static constexpr uint64_t maxWatchHoldMilliseconds = 60'000;

namespace {

// A request in progress and its client name.
struct RequestContext {
    std::shared_ptr<PlatformEmulator::State> state;
    const HTTP::Request& request;
    HTTP::ResponseWriter& writer;
    std::string client;

    bool mustAbort() const { return state->isClosed || state->faults.isBlocked(client); }
};

}

static Core::Task<void> send(RequestContext& context, HTTP::Response response)
{
    context.state->counters.bytesSent += response.body.size();
    Core::Reason ignored;
    co_await context.writer.send(std::move(response), ignored);
}

static Core::Task<void> sendRateLimited(RequestContext& context, unsigned seconds, const char* message)
{
    ++context.state->counters.rateLimited;
    HTTP::Response response = errorResponse(429, message);
    response.headers.push_back({ "Retry-After", std::to_string(seconds) });
    co_await send(context, std::move(response));
}

static Core::Task<void> sendOutageError(RequestContext& context)
{
    ++context.state->counters.duringOutage;
    co_await send(context, errorResponse(503, "platform unavailable: an outage is being emulated"));
}

static HTTP::Response failureResponse(const Core::Reason& reason)
{
    switch (reason.kind) {
    case FailureKind::NotFound:
        return errorResponse(404, reason.message);
    case FailureKind::Conflict:
        return errorResponse(412, reason.message);
    default:
        return errorResponse(413, reason.message);
    }
}

static std::optional<uint64_t> numberParameter(const HTTP::Request& request, const char* name)
{
    std::optional<std::string> text = HTTP::queryParameter(request.target, name);
    if (!text)
        return std::nullopt;
    uint64_t number = 0;
    const char* end = text->data() + text->size();
    std::from_chars_result parsed = std::from_chars(text->data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return number;
}

// Returns the expected version of a write; empty if the headers are missing or malformed.
static std::optional<Platform::Version> expectedVersion(const HTTP::Request& request)
{
    std::optional<std::string> match = HTTP::findHeader(request.headers, "If-Match");
    std::optional<std::string> noneMatch = HTTP::findHeader(request.headers, "If-None-Match");
    if (match.has_value() == noneMatch.has_value())
        return std::nullopt;
    if (match)
        return Platform::parseETag(*match);
    if (*noneMatch == "*" && request.method == "PUT")
        return 0;
    return std::nullopt;
}

static Core::Task<void> serveGet(RequestContext& context, const std::string& name)
{
    ++context.state->counters.get;
    Core::Reason reason;
    std::optional<Platform::Object> object = context.state->table.get(name, reason);
    if (!object) {
        co_await send(context, failureResponse(reason));
        co_return;
    }
    HTTP::Headers headers { { "ETag", Platform::formatETag(object->version) }, { "Content-Type", "application/octet-stream" } };
    co_await send(context, { 200, std::move(headers), std::move(object->value) });
}

static Core::Task<void> finishWrite(RequestContext& context, HTTP::Headers headers)
{
    if (context.state->faults.consumeLostReply()) {
        ++context.state->counters.lostReplies;
        context.writer.abort();
        co_return;
    }
    co_await send(context, { 200, std::move(headers), "" });
}

static Core::Task<void> sendWriteFailure(RequestContext& context, const Core::Reason& reason)
{
    if (reason.kind == FailureKind::Conflict)
        ++context.state->counters.conflicts;
    co_await send(context, failureResponse(reason));
}

static Core::Task<void> servePut(RequestContext& context, const std::string& name, Platform::Version expected)
{
    ++context.state->counters.put;
    Core::Reason reason;
    std::optional<Platform::Version> version = context.state->table.put(name, context.request.body, expected, reason);
    if (version)
        co_await finishWrite(context, { { "ETag", Platform::formatETag(*version) } });
    else
        co_await sendWriteFailure(context, reason);
}

static Core::Task<void> serveDelete(RequestContext& context, const std::string& name, Platform::Version expected)
{
    ++context.state->counters.remove;
    Core::Reason reason;
    if (context.state->table.remove(name, expected, reason))
        co_await finishWrite(context, {});
    else
        co_await sendWriteFailure(context, reason);
}

static Core::Task<void> serveObject(RequestContext& context, const std::string& name)
{
    if (context.request.method == "GET") {
        co_await serveGet(context, name);
        co_return;
    }
    std::optional<Platform::Version> expected = expectedVersion(context.request);
    if (!expected)
        co_await send(context, errorResponse(400, "expected either If-Match with one quoted version or, to create, If-None-Match: *"));
    else if (context.request.method == "PUT")
        co_await servePut(context, name, *expected);
    else
        co_await serveDelete(context, name, *expected);
}

static Core::Task<void> serveList(RequestContext& context)
{
    ++context.state->counters.list;
    std::string prefix = HTTP::queryParameter(context.request.target, "prefix").value_or("");
    std::string body = Platform::encodeListing(context.state->table.list(prefix));
    co_await send(context, { 200, { { "Content-Type", "application/cbor" } }, std::move(body) });
}

static Core::Task<void> waitForChanges(RequestContext& context, Platform::Version since, Core::Deadline deadline)
{
    PlatformEmulator::State& state = *context.state;
    std::string prefix = HTTP::queryParameter(context.request.target, "prefix").value_or("");
    for (;;) {
        Core::Reason reason;
        std::optional<Platform::Changes> changes = co_await state.table.watch(context.client, prefix, since, deadline, reason);
        if (context.mustAbort()) {
            ++state.counters.blocked;
            context.writer.abort();
            co_return;
        }
        if (state.faults.isOutageActive()) {
            co_await sendOutageError(context);
            co_return;
        }
        if (changes) {
            std::string body = Platform::encodeChanges(*changes);
            co_await send(context, { 200, { { "Content-Type", "application/cbor" } }, std::move(body) });
            co_return;
        }
        if (reason.kind == FailureKind::NotFound) {
            co_await send(context, errorResponse(410, reason.message));
            co_return;
        }
    }
}

static Core::Task<void> serveWatch(RequestContext& context)
{
    PlatformEmulator::State& state = *context.state;
    std::optional<uint64_t> since = numberParameter(context.request, "since");
    std::optional<uint64_t> timeout = numberParameter(context.request, "timeout_ms");
    if (!since || !timeout) {
        co_await send(context, errorResponse(400, "'since' and 'timeout_ms' must be non-negative integers"));
        co_return;
    }
    if (state.settings.watchLimit > 0 && state.table.waitingWatches() >= state.settings.watchLimit) {
        co_await sendRateLimited(context, 1, "limit of waiting watches reached");
        co_return;
    }
    ++state.counters.watch;
    std::chrono::milliseconds hold(std::min(*timeout, maxWatchHoldMilliseconds));
    co_await waitForChanges(context, *since, Core::Deadline::after(hold));
}

static Core::Task<void> serveHosts(RequestContext& context)
{
    ++context.state->counters.hosts;
    std::string body = Platform::encodeHosts(context.state->hosts.visible(Core::SteadyClock::now()));
    co_await send(context, { 200, { { "Content-Type", "application/json" } }, std::move(body) });
}

static Core::Task<void> route(RequestContext& context)
{
    const std::string& method = context.request.method;
    std::string path = HTTP::pathOf(context.request.target);
    std::optional<std::string> name = Platform::objectNameOf(path);
    bool isRead = method == "GET";
    bool isWrite = method == "PUT" || method == "DELETE";
    bool isKnown = path == "/v1/list" || path == "/v1/watch" || path == "/v1/hosts" || path.starts_with("/v1/objects/");
    if (!isKnown) {
        co_await send(context, errorResponse(404, "unknown path '" + path + "'"));
        co_return;
    }
    if (!isRead && !(isWrite && path.starts_with("/v1/objects/"))) {
        co_await send(context, errorResponse(405, "method " + method + " is not supported for '" + path + "'"));
        co_return;
    }
    RateLimiter& limiter = isRead ? context.state->reads : context.state->writes;
    if (!limiter.tryAcquire(Core::SteadyClock::now())) {
        co_await sendRateLimited(context, limiter.retryAfterSeconds(), isRead ? "read rate exceeded" : "write rate exceeded");
        co_return;
    }
    if (path == "/v1/list")
        co_await serveList(context);
    else if (path == "/v1/watch")
        co_await serveWatch(context);
    else if (path == "/v1/hosts")
        co_await serveHosts(context);
    else if (!name || name->empty())
        co_await send(context, errorResponse(400, "the object's name is empty or its encoding is malformed"));
    else
        co_await serveObject(context, *name);
}

Core::Task<void> serveObjectApi(std::shared_ptr<PlatformEmulator::State> state, HTTP::Request request, HTTP::ResponseWriter& writer)
{
    state->counters.bytesReceived += request.body.size();
    RequestContext context { state, request, writer, HTTP::findHeader(request.headers, "X-Client").value_or("") };
    // The delay precedes the operation, so that a slow write can take effect after its client has timed out.
    if (state->faults.delay() > 0ms)
        co_await Core::sleepUntil(Core::Deadline::after(state->faults.delay()));
    if (context.mustAbort()) {
        ++state->counters.blocked;
        writer.abort();
        co_return;
    }
    if (state->faults.isOutageActive())
        co_await sendOutageError(context);
    else
        co_await route(context);
}

}
