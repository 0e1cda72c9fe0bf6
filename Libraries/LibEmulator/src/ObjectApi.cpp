#include "LibPlatform/ObjectCodec.h"
#include "PlatformState.h"
#include <charconv>

namespace Emulator {

using namespace std::chrono_literals;
using Core::FailureKind;

static constexpr uint64_t maxWatchHoldMilliseconds = 60'000;

namespace {

// One request in progress.
struct Exchange {
    std::shared_ptr<PlatformEmulator::State> state;
    const HTTP::Request& request;
    HTTP::ResponseWriter& writer;
    std::string client;

    bool mustAbort() const { return state->isClosed || state->faults.isBlocked(client); }
};

}

static Core::Task<void> send(Exchange& exchange, HTTP::Response response)
{
    exchange.state->counters.bytesSent += response.body.size();
    Core::Reason ignored;
    co_await exchange.writer.send(std::move(response), ignored);
}

static Core::Task<void> sendRateLimited(Exchange& exchange, unsigned seconds, const char* message)
{
    ++exchange.state->counters.rateLimited;
    HTTP::Response response = errorResponse(429, message);
    response.headers.push_back({ "Retry-After", std::to_string(seconds) });
    co_await send(exchange, std::move(response));
}

static Core::Task<void> sendOutage(Exchange& exchange)
{
    ++exchange.state->counters.duringOutage;
    co_await send(exchange, errorResponse(503, "the platform is out of service"));
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

// The version that the write expects; empty when the headers name none or are malformed.
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

static Core::Task<void> serveGet(Exchange& exchange, const std::string& name)
{
    ++exchange.state->counters.get;
    Core::Reason reason;
    std::optional<Platform::Object> object = exchange.state->table.get(name, reason);
    if (!object) {
        co_await send(exchange, failureResponse(reason));
        co_return;
    }
    HTTP::Headers headers { { "ETag", Platform::formatETag(object->version) }, { "Content-Type", "application/octet-stream" } };
    co_await send(exchange, { 200, std::move(headers), std::move(object->value) });
}

static Core::Task<void> finishWrite(Exchange& exchange, HTTP::Headers headers)
{
    if (exchange.state->faults.takeLostReply()) {
        ++exchange.state->counters.lostReplies;
        exchange.writer.abort();
        co_return;
    }
    co_await send(exchange, { 200, std::move(headers), "" });
}

static Core::Task<void> refuseWrite(Exchange& exchange, const Core::Reason& reason)
{
    if (reason.kind == FailureKind::Conflict)
        ++exchange.state->counters.conflicts;
    co_await send(exchange, failureResponse(reason));
}

static Core::Task<void> servePut(Exchange& exchange, const std::string& name, Platform::Version expected)
{
    ++exchange.state->counters.put;
    Core::Reason reason;
    std::optional<Platform::Version> version = exchange.state->table.put(name, exchange.request.body, expected, reason);
    if (version)
        co_await finishWrite(exchange, { { "ETag", Platform::formatETag(*version) } });
    else
        co_await refuseWrite(exchange, reason);
}

static Core::Task<void> serveDelete(Exchange& exchange, const std::string& name, Platform::Version expected)
{
    ++exchange.state->counters.remove;
    Core::Reason reason;
    if (exchange.state->table.remove(name, expected, reason))
        co_await finishWrite(exchange, {});
    else
        co_await refuseWrite(exchange, reason);
}

static Core::Task<void> serveObject(Exchange& exchange, const std::string& name)
{
    if (exchange.request.method == "GET") {
        co_await serveGet(exchange, name);
        co_return;
    }
    std::optional<Platform::Version> expected = expectedVersion(exchange.request);
    if (!expected)
        co_await send(exchange, errorResponse(400, "expected either If-Match with one quoted version or, to create, If-None-Match: *"));
    else if (exchange.request.method == "PUT")
        co_await servePut(exchange, name, *expected);
    else
        co_await serveDelete(exchange, name, *expected);
}

static Core::Task<void> serveList(Exchange& exchange)
{
    ++exchange.state->counters.list;
    std::string prefix = HTTP::queryParameter(exchange.request.target, "prefix").value_or("");
    std::string body = Platform::encodeListing(exchange.state->table.list(prefix));
    co_await send(exchange, { 200, { { "Content-Type", "application/cbor" } }, std::move(body) });
}

static Core::Task<void> holdWatch(Exchange& exchange, Platform::Version since, Core::Deadline deadline)
{
    PlatformEmulator::State& state = *exchange.state;
    std::string prefix = HTTP::queryParameter(exchange.request.target, "prefix").value_or("");
    for (;;) {
        Core::Reason reason;
        std::optional<Platform::Changes> changes = co_await state.table.watch(exchange.client, prefix, since, deadline, reason);
        if (exchange.mustAbort()) {
            ++state.counters.blocked;
            exchange.writer.abort();
            co_return;
        }
        if (state.faults.isOut()) {
            co_await sendOutage(exchange);
            co_return;
        }
        if (changes) {
            std::string body = Platform::encodeChanges(*changes);
            co_await send(exchange, { 200, { { "Content-Type", "application/cbor" } }, std::move(body) });
            co_return;
        }
        if (reason.kind == FailureKind::NotFound) {
            co_await send(exchange, errorResponse(410, reason.message));
            co_return;
        }
    }
}

static Core::Task<void> serveWatch(Exchange& exchange)
{
    PlatformEmulator::State& state = *exchange.state;
    std::optional<uint64_t> since = numberParameter(exchange.request, "since");
    std::optional<uint64_t> timeout = numberParameter(exchange.request, "timeout_ms");
    if (!since || !timeout) {
        co_await send(exchange, errorResponse(400, "'since' and 'timeout_ms' must be whole numbers"));
        co_return;
    }
    if (state.settings.watchLimit > 0 && state.table.waitingWatches() >= state.settings.watchLimit) {
        co_await sendRateLimited(exchange, 1, "too many waiting watches");
        co_return;
    }
    ++state.counters.watch;
    std::chrono::milliseconds hold(std::min(*timeout, maxWatchHoldMilliseconds));
    co_await holdWatch(exchange, *since, Core::Deadline::after(hold));
}

static Core::Task<void> serveHosts(Exchange& exchange)
{
    ++exchange.state->counters.hosts;
    std::string body = Platform::encodeHosts(exchange.state->hosts.visible(Core::SteadyClock::now()));
    co_await send(exchange, { 200, { { "Content-Type", "application/json" } }, std::move(body) });
}

static Core::Task<void> route(Exchange& exchange)
{
    const std::string& method = exchange.request.method;
    std::string path = HTTP::pathOf(exchange.request.target);
    std::optional<std::string> name = Platform::objectNameOf(path);
    bool isRead = method == "GET";
    bool isWrite = method == "PUT" || method == "DELETE";
    bool isKnown = path == "/v1/list" || path == "/v1/watch" || path == "/v1/hosts" || path.starts_with("/v1/objects/");
    if (!isKnown) {
        co_await send(exchange, errorResponse(404, "unknown path '" + path + "'"));
        co_return;
    }
    if (!isRead && !(isWrite && path.starts_with("/v1/objects/"))) {
        co_await send(exchange, errorResponse(405, "method " + method + " is not supported for '" + path + "'"));
        co_return;
    }
    RateLimiter& limiter = isRead ? exchange.state->reads : exchange.state->writes;
    if (!limiter.take(Core::SteadyClock::now())) {
        co_await sendRateLimited(exchange, limiter.retryAfterSeconds(), isRead ? "read rate exceeded" : "write rate exceeded");
        co_return;
    }
    if (path == "/v1/list")
        co_await serveList(exchange);
    else if (path == "/v1/watch")
        co_await serveWatch(exchange);
    else if (path == "/v1/hosts")
        co_await serveHosts(exchange);
    else if (!name || name->empty())
        co_await send(exchange, errorResponse(400, "the object's name is empty or its encoding is malformed"));
    else
        co_await serveObject(exchange, *name);
}

Core::Task<void> serveObjectApi(std::shared_ptr<PlatformEmulator::State> state, HTTP::Request request, HTTP::ResponseWriter& writer)
{
    state->counters.bytesReceived += request.body.size();
    Exchange exchange { state, request, writer, HTTP::findHeader(request.headers, "X-Client").value_or("") };
    // The delay comes before the effect, so that a slow write takes effect after its client has given up.
    if (state->faults.delay() > 0ms)
        co_await Core::sleepUntil(Core::Deadline::after(state->faults.delay()));
    if (exchange.mustAbort()) {
        ++state->counters.blocked;
        writer.abort();
        co_return;
    }
    if (state->faults.isOut())
        co_await sendOutage(exchange);
    else
        co_await route(exchange);
}

}
