#include "LibRelay/EngineLoadModel.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Relay {

// A slow spell lasts some hundred milliseconds, and is forgotten within two seconds.
static constexpr double spellHalfLifeMs = 600;
static constexpr double spellWeight = 0.5;
// Queues, and engines that are slower than others for long.
static constexpr double trendHalfLifeMs = 8'000;
static constexpr double trendWeight = 0.2;
static constexpr double paceHalfLifeMs = 700;
// Share of its weight that the earlier pace keeps with each event.
static constexpr double retainedPacePerEvent = 0.9;
static constexpr double maxPace = 8;
static constexpr double minPace = 0.5;
static constexpr double stepWeight = 0.01;
// Lateness that a refusal stands for.
static constexpr double refusalLatenessMs = 300;
// Errors up to this share of the expected time are those of the prediction.
static constexpr double expectedError = 0.15;
static constexpr double maxLatenessMs = 10'000;
// Own requests that run at an engine lengthen its steps, and stand for further ones of other daemons.
static constexpr double msPerRun = 2;
// An engine's memory is shared by many parts; one that was not used for longer may have been evicted.
static constexpr std::chrono::seconds partRetention(20);
static constexpr double concurrencyWeight = 0.03;
static constexpr double durationWeight = 0.1;
// Multiplied by the number of daemons, one request that happens to meet another would make a rare part seem popular.
static constexpr size_t minSeenRequests = 8;
static constexpr double noticedLatenessMs = 300;
static constexpr std::chrono::seconds noticeInterval(10);
static constexpr size_t maxParts = 4'096;

static double millisecondsBetween(EngineLoadModel::TimePoint from, EngineLoadModel::TimePoint to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

double EngineLoadModel::Deviation::at(TimePoint now, double halfLifeMs) const
{
    return value == 0 ? 0 : value * std::exp2(-std::max(0.0, millisecondsBetween(observedAt, now)) / halfLifeMs);
}

void EngineLoadModel::Deviation::add(double observed, double weight, TimePoint now, double halfLifeMs)
{
    double before = at(now, halfLifeMs);
    value = before + weight * (observed - before);
    observedAt = now;
}

static double latenessBeyondError(double lateMs, double expectedMs)
{
    double error = expectedError * expectedMs;
    return lateMs > 0 ? std::max(0.0, lateMs - error) : std::min(0.0, lateMs + error);
}

const EngineLoadModel::Engine* EngineLoadModel::find(const std::string& endpoint) const
{
    auto it = m_engines.find(endpoint);
    return it == m_engines.end() ? nullptr : &it->second;
}

const FirstEventFit& EngineLoadModel::fitOf(const std::string& service) const
{
    static const FirstEventFit unknown;
    auto it = m_services.find(service);
    return it == m_services.end() ? unknown : it->second.fit;
}

Tokens EngineLoadModel::waitingTokens(const Engine& engine, const FirstEventFit& fit, TimePoint now) const
{
    Tokens most = 0;
    for (RunId id : engine.waiting) {
        const Run& run = m_runs.at(id);
        auto read = static_cast<Tokens>(std::max(0.0, millisecondsBetween(run.sentAt, now)) / fit.msPerToken());
        // tokensAhead includes the tokens of earlier requests.
        most = std::max(most, run.tokensAhead - std::min(read, run.tokensAhead));
    }
    return most;
}

double EngineLoadModel::paceOf(const Engine* engine, TimePoint now)
{
    return engine ? std::clamp(1 + engine->pace.at(now, paceHalfLifeMs), minPace, maxPace) : 1;
}

// A first event that is overdue shows that the engine is late before the event arrives.
double EngineLoadModel::latenessOf(const Engine& engine, TimePoint now) const
{
    double lateness = engine.spell.at(now, spellHalfLifeMs) + engine.trend.at(now, trendHalfLifeMs);
    for (RunId id : engine.waiting) {
        const Run& run = m_runs.at(id);
        if (run.isStream)
            lateness = std::max(lateness, millisecondsBetween(run.sentAt, now) - run.expectedMs);
    }
    return std::min(lateness, maxLatenessMs);
}

double EngineLoadModel::latenessMs(const std::string& endpoint, TimePoint now) const
{
    const Engine* engine = find(endpoint);
    return engine ? latenessOf(*engine, now) : 0;
}

double EngineLoadModel::predictMs(const Endpoint& endpoint, const EnginePrompt& prompt, bool isKept, TimePoint now) const
{
    const FirstEventFit& fit = fitOf(endpoint.service);
    Tokens tokens = std::max<Tokens>(0, prompt.tokens - (isKept ? prompt.sharedTokens : 0));
    const Engine* engine = find(endpoint.id);
    if (!engine)
        return fit.predictMs(tokens);
    double reading = fit.predictMs(tokens + waitingTokens(*engine, fit, now)) * paceOf(engine, now);
    return std::max(0.0, reading + latenessOf(*engine, now) + msPerRun * static_cast<double>(engine->runs));
}

bool EngineLoadModel::hasSent(const std::string& endpoint, uint64_t sharedKey, TimePoint now) const
{
    const Engine* engine = find(endpoint);
    return engine && sharedKey != 0
        && std::any_of(engine->sentParts.begin(), engine->sentParts.end(), [sharedKey, now](const SentPart& part) { return part.key == sharedKey && now - part.sentAt < partRetention; });
}

double EngineLoadModel::readingMs(const std::string& service, Tokens tokens) const
{
    return fitOf(service).msPerToken() * static_cast<double>(std::max<Tokens>(0, tokens));
}

double EngineLoadModel::concurrencyOf(uint64_t sharedKey) const
{
    auto it = m_parts.find(sharedKey);
    return it == m_parts.end() || it->second.seen < minSeenRequests ? 0 : it->second.meanInProgress;
}

double EngineLoadModel::readingConcurrencyOf(const std::string& service, const EnginePrompt& prompt) const
{
    auto it = m_parts.find(prompt.sharedKey);
    if (it == m_parts.end() || it->second.meanDurationMs <= 0)
        return 0;
    return concurrencyOf(prompt.sharedKey) * std::min(1.0, readingMs(service, prompt.tokens - prompt.sharedTokens) / it->second.meanDurationMs);
}

size_t EngineLoadModel::runs(const std::string& service) const
{
    auto it = m_services.find(service);
    return it == m_services.end() ? 0 : it->second.runs;
}

void EngineLoadModel::rememberPart(Engine& engine, uint64_t sharedKey, TimePoint now)
{
    if (sharedKey == 0)
        return;
    for (SentPart& part : engine.sentParts) {
        if (part.key == sharedKey) {
            part.sentAt = now;
            return;
        }
    }
    engine.sentParts[engine.nextPart] = { sharedKey, now };
    engine.nextPart = (engine.nextPart + 1) % rememberedParts;
}

// Requests arrive at random, so that what an arriving one finds in progress is on average what is in progress.
void EngineLoadModel::countPart(uint64_t sharedKey)
{
    if (sharedKey == 0)
        return;
    if (m_parts.size() >= maxParts)
        std::erase_if(m_parts, [](const auto& entry) { return entry.second.inProgress == 0; });
    PartState& part = m_parts[sharedKey];
    ++part.seen;
    part.meanInProgress += std::max(concurrencyWeight, 1 / static_cast<double>(part.seen)) * (static_cast<double>(part.inProgress) - part.meanInProgress);
    ++part.inProgress;
}

EngineLoadModel::RunId EngineLoadModel::recordSent(const Endpoint& endpoint, const EnginePrompt& prompt, bool isStream, TimePoint now)
{
    ServiceState& service = m_services[endpoint.service];
    Engine& engine = m_engines[endpoint.id];
    Run run;
    run.endpoint = endpoint.id;
    run.service = endpoint.service;
    run.sharedKey = prompt.sharedKey;
    run.isStream = isStream;
    run.sentAt = now;
    Tokens kept = hasSent(endpoint.id, prompt.sharedKey, now) ? prompt.sharedTokens : 0;
    run.tokensAhead = std::max<Tokens>(0, prompt.tokens - kept) + waitingTokens(engine, service.fit, now);
    run.expectedMs = service.fit.predictMs(run.tokensAhead) * paceOf(&engine, now);
    rememberPart(engine, prompt.sharedKey, now);
    countPart(prompt.sharedKey);
    ++service.runs;
    ++engine.runs;
    engine.waiting.push_back(++m_lastRun);
    m_runs.emplace(m_lastRun, std::move(run));
    return m_lastRun;
}

void EngineLoadModel::recordLateness(Engine& engine, double lateMs, TimePoint now)
{
    double bounded = std::min(lateMs, maxLatenessMs);
    double trend = engine.trend.at(now, trendHalfLifeMs);
    engine.spell.add(bounded - trend, spellWeight, now, spellHalfLifeMs);
    engine.trend.add(bounded, trendWeight, now, trendHalfLifeMs);
}

void EngineLoadModel::recordFirstEvent(Run& run, TimePoint now)
{
    double elapsedMs = millisecondsBetween(run.sentAt, now);
    m_services[run.service].fit.add(run.tokensAhead, elapsedMs);
    if (auto engine = m_engines.find(run.endpoint); engine != m_engines.end())
        recordLateness(engine->second, latenessBeyondError(elapsedMs - run.expectedMs, run.expectedMs), now);
}

void EngineLoadModel::recordEvents(RunId id, size_t events, TimePoint now)
{
    auto it = m_runs.find(id);
    if (it == m_runs.end() || events == 0)
        return;
    Run& run = it->second;
    auto engine = m_engines.find(run.endpoint);
    TimePoint lastEventAt = std::exchange(run.lastEventAt, now);
    if (!std::exchange(run.hasEvents, true)) {
        recordFirstEvent(run, now);
        if (engine != m_engines.end())
            std::erase(engine->second.waiting, id);
        return;
    }
    double stepMs = millisecondsBetween(lastEventAt, now) / static_cast<double>(events);
    ServiceState& service = m_services[run.service];
    service.stepMs = service.stepMs == 0 ? stepMs : service.stepMs + stepWeight * (stepMs - service.stepMs);
    if (engine == m_engines.end() || service.stepMs <= 0)
        return;
    double ratio = std::min(stepMs / service.stepMs, maxPace);
    double weight = 1 - std::pow(retainedPacePerEvent, static_cast<double>(std::min<size_t>(events, 8)));
    engine->second.pace.add(ratio - 1, weight, now, paceHalfLifeMs);
}

void EngineLoadModel::recordEnd(RunId id, TimePoint now)
{
    auto it = m_runs.find(id);
    if (it == m_runs.end())
        return;
    const Run& run = it->second;
    ServiceState& service = m_services[run.service];
    service.runs -= std::min<size_t>(service.runs, 1);
    if (auto part = m_parts.find(run.sharedKey); part != m_parts.end() && part->second.inProgress > 0) {
        --part->second.inProgress;
        double durationMs = millisecondsBetween(run.sentAt, now);
        double& mean = part->second.meanDurationMs;
        mean = mean == 0 ? durationMs : mean + durationWeight * (durationMs - mean);
    }
    if (auto engine = m_engines.find(run.endpoint); engine != m_engines.end()) {
        double overdueMs = millisecondsBetween(run.sentAt, now) - run.expectedMs;
        if (run.isStream && !run.hasEvents && overdueMs > 0)
            recordLateness(engine->second, overdueMs, now);
        std::erase(engine->second.waiting, id);
        engine->second.runs -= std::min<size_t>(engine->second.runs, 1);
    }
    m_runs.erase(it);
}

void EngineLoadModel::recordRefusal(const std::string& endpoint, TimePoint now)
{
    recordLateness(m_engines[endpoint], refusalLatenessMs, now);
}

std::optional<double> EngineLoadModel::takeLateNotice(const std::string& endpoint, TimePoint now)
{
    auto it = m_engines.find(endpoint);
    if (it == m_engines.end() || (it->second.noticedAt && now - *it->second.noticedAt < noticeInterval))
        return std::nullopt;
    double lateness = latenessOf(it->second, now);
    if (lateness < noticedLatenessMs)
        return std::nullopt;
    it->second.noticedAt = now;
    return lateness;
}

void EngineLoadModel::forget(const std::string& endpoint)
{
    auto engine = m_engines.find(endpoint);
    if (engine == m_engines.end())
        return;
    std::vector<RunId> gone;
    for (const auto& [id, run] : m_runs) {
        if (run.endpoint == endpoint)
            gone.push_back(id);
    }
    for (RunId id : gone) {
        const Run& run = m_runs.at(id);
        m_services[run.service].runs -= std::min<size_t>(m_services[run.service].runs, 1);
        if (auto part = m_parts.find(run.sharedKey); part != m_parts.end() && part->second.inProgress > 0)
            --part->second.inProgress;
        m_runs.erase(id);
    }
    m_engines.erase(engine);
}

}
