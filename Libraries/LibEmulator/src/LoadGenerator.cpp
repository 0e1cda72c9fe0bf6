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
// Wait before a further attempt, so that a daemon can notice that the first one's connection is gone.
static constexpr std::chrono::milliseconds retryPause(50);

namespace {

enum class Ending {
    Complete,
    Refused,
    Broken,
    Unreachable,
    Wrong,
};

// How one attempt ended.
struct Attempt {
    Ending ending { Ending::Broken };
    RefusalKind refusal;
    std::string fault;
};

// One request over all of its attempts.
struct LoadRequest {
    int64_t index { 0 };
    bool isWhole { false };
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
    Core::Task<Attempt> readWhole(LoadRequest&, HTTP::ResponseStream&, Core::Deadline);
    Attempt judge(const LoadRequest&, const ReceivedAnswer&);
    void recordTokens(LoadRequest&, int64_t tokens, SteadyClock::time_point& lastAt);
    void count(const Attempt&, int64_t attempts);
    Core::Task<void> runRequest(int64_t index);
    static Core::Task<void> runWorker(std::shared_ptr<State>, int64_t worker);

    boost::asio::any_io_executor executor;
    LoadSettings settings;
    HTTP::Client client;
    Core::Signal workerEnded;
    // Keeps the identities of this run apart from those of earlier runs with the same seed.
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
    request.isWhole = static_cast<int64_t>(Core::hash64("whole " + std::to_string(index), settings.seed) % 100) < settings.wholePercent;
    Json body = { { "model", settings.model }, { "messages", Json::array({ { { "role", "user" }, { "content", request.prompt } } }) },
        { "max_tokens", settings.maxTokens }, { "stream", !request.isWhole } };
    request.message = { "POST", "/v1/chat/completions",
        { { "Content-Type", "application/json" }, { "Idempotency-Key", identity }, { "X-Request-Timeout-Ms", std::to_string(settings.timeoutMs) } },
        body.dump() };
    if (settings.areEngines) {
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
    attempt.ending = Ending::Refused;
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
        attempt.ending = reason.kind == Core::FailureKind::Unavailable ? Ending::Unreachable : Ending::Broken;
        co_return attempt;
    }
    if ((*response)->status() != 200) {
        std::optional<std::string> body = co_await (*response)->readAll(maxBodyBytes, deadline, reason);
        co_return refusalOf((*response)->status(), body.value_or(""));
    }
    if (request.isWhole)
        co_return co_await readWhole(request, **response, deadline);
    co_return co_await readStream(request, **response, deadline);
}

Core::Task<Attempt> LoadGenerator::State::readStream(LoadRequest& request, HTTP::ResponseStream& response, Core::Deadline deadline)
{
    Core::Reason reason;
    ReceivedAnswer answer;
    SteadyClock::time_point lastAt = SteadyClock::now();
    for (;;) {
        std::optional<std::string> piece = co_await response.readSome(deadline, reason);
        if (!piece || piece->empty())
            break;
        recordTokens(request, answer.takeBytes(*piece), lastAt);
    }
    co_return judge(request, answer);
}

Core::Task<Attempt> LoadGenerator::State::readWhole(LoadRequest& request, HTTP::ResponseStream& response, Core::Deadline deadline)
{
    Core::Reason reason;
    ReceivedAnswer answer;
    std::optional<std::string> body = co_await response.readAll(maxBodyBytes, deadline, reason);
    if (body)
        answer.takeWhole(*body);
    co_return judge(request, answer);
}

// Tokens that arrive together count as one wait and no time between the rest.
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

Attempt LoadGenerator::State::judge(const LoadRequest& request, const ReceivedAnswer& answer)
{
    Attempt attempt;
    attempt.fault = answer.faultAgainst(AnswerText(request.prompt, settings.maxTokens));
    if (!attempt.fault.empty()) {
        attempt.ending = Ending::Wrong;
        attempt.fault = "request " + std::to_string(request.index) + ": " + attempt.fault;
    } else if (answer.hasEnded()) {
        attempt.ending = Ending::Complete;
        result.promptTokens += answer.promptTokens();
        result.completionTokens += answer.completionTokens();
    }
    return attempt;
}

void LoadGenerator::State::count(const Attempt& last, int64_t attempts)
{
    result.retries += attempts - 1;
    switch (last.ending) {
    case Ending::Complete:
        ++result.complete;
        result.completeAfterRetry += attempts > 1 ? 1 : 0;
        return;
    case Ending::Refused:
        ++result.refused[last.refusal];
        return;
    case Ending::Broken:
        ++result.broken;
        return;
    case Ending::Unreachable:
        ++result.unreachable;
        return;
    case Ending::Wrong:
        ++result.wrong;
        if (result.firstWrongAnswer.empty())
            result.firstWrongAnswer = last.fault;
        return;
    }
}

static bool isWorthAnotherAttempt(const Attempt& last, int64_t attempts)
{
    if (last.ending == Ending::Broken || last.ending == Ending::Unreachable)
        return true;
    // The earlier attempt of the same request has not been given up yet.
    return attempts > 1 && last.ending == Ending::Refused && last.refusal.code == "in_progress";
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
        if (attempts >= settings.maxAttempts || !isWorthAnotherAttempt(last, attempts))
            break;
        co_await Core::sleepUntil(Core::Deadline::after(retryPause));
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
