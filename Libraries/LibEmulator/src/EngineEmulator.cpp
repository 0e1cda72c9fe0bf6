#include "LibEmulator/EngineEmulator.h"

#include "EngineState.h"
#include "JsonReply.h"
#include "LibCore/Random.h"
#include "LibEmulator/EngineRequest.h"
#include "StreamReply.h"
#include <charconv>

namespace Emulator {

using Phase = GeneratedStream::Phase;
using StatePointer = std::shared_ptr<EngineEmulator::State>;

static constexpr std::string_view streamsPath = "/v1/streams/";
static constexpr std::string_view cancelSuffix = "/cancel";
static constexpr size_t maxStreamIdBytes = 128;

static std::optional<int64_t> parseNumber(const std::optional<std::string>& text, int64_t fallback)
{
    if (!text)
        return fallback;
    int64_t number = 0;
    std::from_chars_result result = std::from_chars(text->data(), text->data() + text->size(), number);
    if (result.ec != std::errc() || result.ptr != text->data() + text->size())
        return std::nullopt;
    return number;
}

static bool isStreamId(const std::string& id)
{
    if (id.empty() || id.size() > maxStreamIdBytes)
        return false;
    for (char character : id) {
        bool isAllowed = std::isalnum(static_cast<unsigned char>(character)) || character == '-' || character == '_' || character == '.' || character == ':';
        if (!isAllowed)
            return false;
    }
    return true;
}

// Parses the headers and body of a chat-completions request.
static std::optional<StreamScheduler::StreamRequest> parseStreamRequest(const HTTP::Request& request, Core::Reason& reason)
{
    StreamScheduler::StreamRequest streamRequest;
    streamRequest.streamId = HTTP::findHeader(request.headers, "X-Stream-Id").value_or(Core::randomIdentifier());
    streamRequest.workspace = HTTP::findHeader(request.headers, "X-Workspace").value_or("");
    std::optional<int64_t> priority = parseNumber(HTTP::findHeader(request.headers, "X-Priority"), 0);
    if (!isStreamId(streamRequest.streamId) || !priority) {
        reason = { Core::FailureKind::Invalid, "parse request", "caller", !priority ? "X-Priority: an integer is required" : "X-Stream-Id: 1 to 128 letters, digits, '-', '_', '.' or ':' are required" };
        return std::nullopt;
    }
    streamRequest.priority = static_cast<int>(*priority);
    std::optional<EngineRequest> parsed = EngineRequest::parse(request.body, reason);
    if (!parsed)
        return std::nullopt;
    streamRequest.request = std::move(*parsed);
    return streamRequest;
}

// Returns the existing stream with the requested identity, or starts one. On failure, sets the error response.
static std::shared_ptr<GeneratedStream> findOrStartStream(EngineEmulator::State& state, StreamScheduler::StreamRequest streamRequest, HTTP::Response& refusal)
{
    std::shared_ptr<GeneratedStream> existing = state.scheduler->find(streamRequest.streamId);
    if (existing && (existing->workspace != streamRequest.workspace || existing->prompt != streamRequest.request.prompt)) {
        refusal = errorReply(409, "stream_conflict", "the stream identity is in use by a request with another workspace or prompt");
        return nullptr;
    }
    if (existing && existing->phase == Phase::Cancelled) {
        refusal = errorReply(409, "cancelled", "the stream was cancelled");
        return nullptr;
    }
    if (existing)
        return existing;
    if (!state.orders.serves(streamRequest.request.model)) {
        refusal = errorReply(404, "unknown_model", "the model is not loaded");
        return nullptr;
    }
    std::shared_ptr<GeneratedStream> stream = state.scheduler->start(std::move(streamRequest));
    if (!stream) {
        state.scheduler->counters().countRefusal();
        refusal = errorReply(503, "overloaded", "the request queue is full");
    }
    return stream;
}

static Core::Task<void> handleChatCompletion(StatePointer state, HTTP::Request request, HTTP::ResponseWriter& writer)
{
    Core::Reason reason;
    if (state->faults.refuse.consume()) {
        state->scheduler->counters().countRefusal();
        co_await writer.send(errorReply(503, "unavailable", "rejected by the 'refuse' fault"), reason);
        co_return;
    }
    std::optional<StreamScheduler::StreamRequest> streamRequest = parseStreamRequest(request, reason);
    if (!streamRequest) {
        co_await writer.send(errorReply(400, "bad_request", reason.message), reason);
        co_return;
    }
    bool isStreamed = streamRequest->request.isStreamed;
    HTTP::Response refusal;
    std::shared_ptr<GeneratedStream> stream = findOrStartStream(*state, std::move(*streamRequest), refusal);
    if (!stream)
        co_await writer.send(std::move(refusal), reason);
    else if (isStreamed)
        co_await replyWithEventStream(state, stream, 0, writer);
    else
        co_await replyWithCompletion(state, stream, writer);
}

// GET /v1/streams/ID and POST /v1/streams/ID/cancel.
static Core::Task<void> handleStream(StatePointer state, HTTP::Request request, HTTP::ResponseWriter& writer)
{
    Core::Reason ignored;
    std::string id = HTTP::pathOf(request.target).substr(streamsPath.size());
    bool isCancel = request.method == "POST" && id.ends_with(cancelSuffix);
    if (isCancel)
        id.resize(id.size() - cancelSuffix.size());
    std::shared_ptr<GeneratedStream> stream = state->scheduler->find(id);
    if (!stream) {
        co_await writer.send(errorReply(404, "unknown_stream", "no stream with this identity"), ignored);
        co_return;
    }
    if (isCancel) {
        state->scheduler->cancel(*stream);
        co_await writer.send(jsonReply(200, { { "id", id }, { "usage", usageOf(*stream) } }), ignored);
        co_return;
    }
    std::optional<int64_t> from = parseNumber(HTTP::queryParameter(request.target, "from"), 0);
    if (!from || *from < 0) {
        co_await writer.send(errorReply(400, "bad_request", "from: a non-negative integer is required"), ignored);
        co_return;
    }
    if (stream->phase == Phase::Cancelled) {
        co_await writer.send(errorReply(409, "cancelled", "the stream was cancelled"), ignored);
        co_return;
    }
    co_await replyWithEventStream(state, stream, *from, writer);
}

static HTTP::Response loadReport(const EngineEmulator::State& state)
{
    EngineLoad load = state.scheduler->loadHistory().report(Core::SteadyClock::now());
    return jsonReply(200, { { "running", load.running }, { "queued", load.queued }, { "age_ms", state.settings.loadLagMs } });
}

static HTTP::Response cacheEvents(const EngineEmulator::State& state, const HTTP::Request& request)
{
    std::optional<int64_t> since = parseNumber(HTTP::queryParameter(request.target, "since"), 0);
    if (!since || *since < 0)
        return errorReply(400, "bad_request", "since: a non-negative integer is required");
    return jsonReply(200, state.scheduler->cache().eventsAfter(static_cast<uint64_t>(*since), Core::SteadyClock::now()));
}

static HTTP::Response counters(const EngineEmulator::State& state)
{
    nlohmann::json json = state.scheduler->counters().toJson();
    json["orders"] = state.orders.toJson();
    return jsonReply(200, json);
}

static void replaceFaults(EngineEmulator::State& state, const EngineFaults& faults)
{
    state.faults = faults;
    state.faultsChanged.notifyAll();
}

static HTTP::Response parseAndReplaceFaults(EngineEmulator::State& state, const HTTP::Request& request)
{
    Core::Reason reason;
    std::optional<EngineFaults> faults = EngineFaults::parse(request.body, state.faults, reason);
    if (!faults)
        return errorReply(400, "bad_request", reason.message);
    replaceFaults(state, *faults);
    return jsonReply(200, nlohmann::json::object());
}

static Core::Task<void> handle(StatePointer state, HTTP::Request request, HTTP::ResponseWriter& writer)
{
    Core::Reason ignored;
    std::string route = request.method + " " + HTTP::pathOf(request.target);
    if (route == "GET /control/counters") {
        co_await writer.send(counters(*state), ignored);
        co_return;
    }
    if (route == "POST /control/faults") {
        co_await writer.send(parseAndReplaceFaults(*state, request), ignored);
        co_return;
    }
    if (state->faults.delayMs > 0)
        co_await Core::sleepUntil(Core::Deadline::after(std::chrono::milliseconds(state->faults.delayMs)));
    co_await state->waitWhileAnsweringStopped();
    if (route == "POST /v1/chat/completions")
        co_await handleChatCompletion(state, std::move(request), writer);
    else if (HTTP::pathOf(request.target).starts_with(streamsPath))
        co_await handleStream(state, std::move(request), writer);
    else if (route == "GET /v1/load")
        co_await writer.send(loadReport(*state), ignored);
    else if (route == "GET /v1/cache-events")
        co_await writer.send(cacheEvents(*state, request), ignored);
    else if (route == "POST /v1/orders")
        co_await writer.send(state->orders.apply(request.body), ignored);
    else
        co_await writer.send(errorReply(404, "not_found", "no such path: " + route), ignored);
}

EngineEmulator::EngineEmulator(const boost::asio::any_io_executor& executor, EngineSettings settings)
    : m_state(std::make_shared<State>(executor, settings))
    , m_server(executor, [state = m_state](HTTP::Request request, HTTP::ResponseWriter& writer) { return handle(state, std::move(request), writer); })
{
}

EngineEmulator::~EngineEmulator() = default;

std::optional<Core::Address> EngineEmulator::listen(const Core::Address& address, Core::Reason& reason)
{
    return m_server.listen(address, reason);
}

void EngineEmulator::setFaults(const EngineFaults& faults)
{
    replaceFaults(*m_state, faults);
}

int64_t EngineEmulator::runsOf(const std::string& streamId) const
{
    return m_state->scheduler->counters().stream(streamId).runs;
}

int64_t EngineEmulator::generatedTokensOf(const std::string& streamId) const
{
    return m_state->scheduler->counters().stream(streamId).completionTokens;
}

void EngineEmulator::stop()
{
    m_server.closeAll();
}

}
