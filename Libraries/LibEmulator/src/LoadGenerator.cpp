#include "LibEmulator/LoadGenerator.h"

#include "LatencyHistogram.h"
#include "LibCore/Hash.h"
#include "LibCore/Random.h"
#include "LibHTTP/Client.h"
#include "LoadPrompts.h"
#include "ReceivedAnswer.h"
#include <nlohmann/json.hpp>

namespace Emulator {

using Json = nlohmann::json;
using Core::SteadyClock;

static constexpr size_t maxBodyBytes = 16 * 1024 * 1024;
// Delay before a retry, so that the daemon can detect that the connection of the previous attempt is closed.
static constexpr std::chrono::milliseconds retryDelay(50);

namespace {

enum class Outcome {
    Complete,
    Refused,
    Broken,
    Unreachable,
    Wrong,
};

struct Attempt {
    Outcome outcome { Outcome::Broken };
    RefusalKind refusal;
    std::string mismatch;
};

// A request with the state shared by all of its attempts.
struct LoadRequest {
    int64_t index { 0 };
    bool isNonStreaming { false };
    std::string prompt;
    HTTP::Request message;
    SteadyClock::time_point startedAt;
    bool hasFirstToken { false };
};

}

struct LoadGenerator::State {
    State(const boost::asio::any_io_executor& executor, LoadSettings settings)
        : executor(executor)
        , settings(std::move(settings))
        , client(executor)
        , workerEnded(executor)
        , runId(Core::randomIdentifier())
    {
    }

    LoadRequest buildRequest(int64_t index) const;
    Core::Task<Attempt> attempt(LoadRequest&, const Core::Address&);
    Core::Task<Attempt> readStream(LoadRequest&, HTTP::ResponseStream&, Core::Deadline);
    Core::Task<Attempt> readCompletion(LoadRequest&, HTTP::ResponseStream&, Core::Deadline);
    Attempt evaluate(const LoadRequest&, const ReceivedAnswer&);
    void recordTokens(LoadRequest&, int64_t tokens, SteadyClock::time_point& lastAt);
    void count(const Attempt&, int64_t attempts);
    Core::Task<void> runRequest(int64_t index);
    static Core::Task<void> runWorker(std::shared_ptr<State>, int64_t worker);

    boost::asio::any_io_executor executor;
    LoadSettings settings;
    HTTP::Client client;
    Core::Signal workerEnded;
    // Makes request identities unique across runs with the same seed.
    std::string runId;
    LoadResult result;
    LatencyHistogram firstToken;
    LatencyHistogram betweenTokens;
    int64_t nextIndex { 0 };
    int64_t workers { 0 };
};

LoadRequest LoadGenerator::State::buildRequest(int64_t index) const
{
    LoadRequest request;
    request.index = index;
    request.prompt = loadPrompt(settings, index);
    std::string identity = "load-" + runId + "-" + std::to_string(index);
    request.isNonStreaming = static_cast<int64_t>(Core::hash64("whole " + std::to_string(index), settings.seed) % 100) < settings.nonStreamingPercent;
    Json body = { { "model", settings.model }, { "messages", Json::array({ { { "role", "user" }, { "content", request.prompt } } }) },
        { "max_tokens", settings.maxTokens }, { "stream", !request.isNonStreaming } };
    request.message = { "POST", "/v1/chat/completions",
        { { "Content-Type", "application/json" }, { "Idempotency-Key", identity }, { "X-Request-Timeout-Ms", std::to_string(settings.timeoutMs) } },
        body.dump() };
    if (settings.targetsAreEngines) {
        request.message.headers.push_back({ "X-Stream-Id", identity });
        request.message.headers.push_back({ "X-Workspace", "load" });
    }
    if (!settings.keys.empty()) {
        const std::string& key = settings.keys[static_cast<size_t>(index) % settings.keys.size()];
        request.message.headers.push_back({ "Authorization", "Bearer " + key });
    }
    return request;
}

static Attempt refusalOf(unsigned status, const std::string& body)
{
    Attempt attempt;
    attempt.outcome = Outcome::Refused;
    attempt.refusal = { "http_" + std::to_string(status), "unstated" };
    Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("error") || !json["error"].is_object())
        return attempt;
    attempt.refusal.code = json["error"].value("code", attempt.refusal.code);
    attempt.refusal.ran = json["error"].value("ran", attempt.refusal.ran);
    return attempt;
}

Core::Task<Attempt> LoadGenerator::State::attempt(LoadRequest& request, const Core::Address& target)
{
    Core::Deadline deadline = Core::Deadline::after(std::chrono::milliseconds(settings.timeoutMs));
    Core::Reason reason;
    std::optional<std::unique_ptr<HTTP::ResponseStream>> response = co_await client.open(target, request.message, deadline, reason);
    if (!response) {
        Attempt attempt;
        attempt.outcome = reason.kind == Core::FailureKind::Unavailable ? Outcome::Unreachable : Outcome::Broken;
        co_return attempt;
    }
    if ((*response)->status() != 200) {
        std::optional<std::string> body = co_await (*response)->readAll(maxBodyBytes, deadline, reason);
        co_return refusalOf((*response)->status(), body.value_or(""));
    }
    if (request.isNonStreaming)
        co_return co_await readCompletion(request, **response, deadline);
    co_return co_await readStream(request, **response, deadline);
}

Core::Task<Attempt> LoadGenerator::State::readStream(LoadRequest& request, HTTP::ResponseStream& response, Core::Deadline deadline)
{
    Core::Reason reason;
    ReceivedAnswer answer;
    SteadyClock::time_point lastAt = SteadyClock::now();
    for (;;) {
        std::optional<std::string> bytes = co_await response.readSome(deadline, reason);
        if (!bytes || bytes->empty())
            break;
        recordTokens(request, answer.appendBytes(*bytes), lastAt);
    }
    co_return evaluate(request, answer);
}

Core::Task<Attempt> LoadGenerator::State::readCompletion(LoadRequest& request, HTTP::ResponseStream& response, Core::Deadline deadline)
{
    Core::Reason reason;
    ReceivedAnswer answer;
    std::optional<std::string> body = co_await response.readAll(maxBodyBytes, deadline, reason);
    if (body)
        answer.setBody(*body);
    co_return evaluate(request, answer);
}

// For tokens that arrive together, the first gets the waiting time and the others an interval of 0.
void LoadGenerator::State::recordTokens(LoadRequest& request, int64_t tokens, SteadyClock::time_point& lastAt)
{
    SteadyClock::time_point now = SteadyClock::now();
    for (int64_t token = 0; token < tokens; ++token) {
        if (!request.hasFirstToken)
            firstToken.add(now - request.startedAt);
        else
            betweenTokens.add(now - lastAt);
        request.hasFirstToken = true;
        lastAt = now;
    }
}

Attempt LoadGenerator::State::evaluate(const LoadRequest& request, const ReceivedAnswer& answer)
{
    Attempt attempt;
    attempt.mismatch = answer.findMismatch(AnswerText(request.prompt, settings.maxTokens));
    if (!attempt.mismatch.empty()) {
        attempt.outcome = Outcome::Wrong;
        attempt.mismatch = "request " + std::to_string(request.index) + ": " + attempt.mismatch;
    } else if (answer.hasEnded()) {
        attempt.outcome = Outcome::Complete;
        result.promptTokens += answer.promptTokens();
        result.completionTokens += answer.completionTokens();
    }
    return attempt;
}

void LoadGenerator::State::count(const Attempt& last, int64_t attempts)
{
    result.retries += attempts - 1;
    switch (last.outcome) {
    case Outcome::Complete:
        ++result.complete;
        result.completeAfterRetry += attempts > 1 ? 1 : 0;
        return;
    case Outcome::Refused:
        ++result.refused[last.refusal];
        return;
    case Outcome::Broken:
        ++result.broken;
        return;
    case Outcome::Unreachable:
        ++result.unreachable;
        return;
    case Outcome::Wrong:
        ++result.wrong;
        if (result.firstWrongAnswer.empty())
            result.firstWrongAnswer = last.mismatch;
        return;
    }
}

static bool shouldRetry(const Attempt& last, int64_t attempts)
{
    if (last.outcome == Outcome::Broken || last.outcome == Outcome::Unreachable)
        return true;
    // The daemon has not yet ended the previous attempt of this request.
    return attempts > 1 && last.outcome == Outcome::Refused && last.refusal.code == "in_progress";
}

Core::Task<void> LoadGenerator::State::runRequest(int64_t index)
{
    LoadRequest request = buildRequest(index);
    request.startedAt = SteadyClock::now();
    ++result.sent;
    Attempt last;
    int64_t attempts = 0;
    for (;;) {
        size_t target = static_cast<size_t>(index + attempts) % settings.targets.size();
        last = co_await attempt(request, settings.targets[target]);
        ++attempts;
        if (attempts >= settings.maxAttempts || !shouldRetry(last, attempts))
            break;
        co_await Core::sleepUntil(Core::Deadline::after(retryDelay));
    }
    count(last, attempts);
}

Core::Task<void> LoadGenerator::State::runWorker(std::shared_ptr<State> state, int64_t worker)
{
    if (state->settings.rampMs > 0)
        co_await Core::sleepUntil(Core::Deadline::after(std::chrono::milliseconds(state->settings.rampMs * worker / state->settings.concurrency)));
    while (state->nextIndex < state->settings.count)
        co_await state->runRequest(state->nextIndex++);
    --state->workers;
    state->workerEnded.notifyAll();
}

LoadGenerator::LoadGenerator(const boost::asio::any_io_executor& executor, LoadSettings settings)
    : m_state(std::make_shared<State>(executor, std::move(settings)))
{
}

LoadGenerator::~LoadGenerator() = default;

Core::Task<LoadResult> LoadGenerator::run()
{
    std::shared_ptr<State> state = m_state;
    SteadyClock::time_point startedAt = SteadyClock::now();
    state->workers = state->settings.concurrency;
    for (int64_t worker = 0; worker < state->settings.concurrency; ++worker)
        Core::spawn(state->executor, "load worker", State::runWorker(state, worker));
    while (state->workers > 0)
        co_await state->workerEnded.wait(Core::Deadline::never());
    LoadResult result = state->result;
    result.seconds = std::chrono::duration<double>(SteadyClock::now() - startedAt).count();
    result.firstToken = state->firstToken.summary();
    result.betweenTokens = state->betweenTokens.summary();
    co_return result;
}

}
