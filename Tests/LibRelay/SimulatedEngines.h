#pragma once

#include "LibCore/Hash.h"
#include "LibCore/Random.h"
#include "LibRelay/EndpointSelector.h"
#include "LibRelay/Urgency.h"
#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <random>
#include <set>

// Daemons that choose engines, and engines that batch: they read prompts in the order of urgency while they generate tokens for all
// running requests. Time advances in fixed steps; nothing depends on the machine's speed.
namespace EngineSimulation {

using TimePoint = Core::SteadyClock::time_point;

struct Kind {
    std::string name;
    double perSecond { 0 };
    Relay::Tokens sharedTokens { 0 };
    Relay::Tokens ownTokens { 0 };
    // Every hundredth prompt has so many own tokens; 0: none differs.
    Relay::Tokens longestTokens { 0 };
    Relay::Tokens outputTokens { 0 };
    double targetMs { 0 };
    int priority { 0 };
    // Last shared prompt parts.
    size_t parts { 10 };
    // Requests for the n-th part are proportional to n to the power of minus this.
    double skew { 0 };
    // First shared levels, each of which begins many parts and holds half of the shared tokens; 0: parts have one level.
    size_t firstLevels { 0 };
};

struct Setting {
    bool isPredicting { true };
    size_t daemons { 70 };
    size_t engines { 112 };
    size_t slots { 12 };
    double tokensPerMs { 157 };
    double stepMs { 3.55 };
    double stepMsPerRun { 0.046 };
    // Share of the time that an engine is in a slow spell, and its length.
    double spellShare { 0 };
    double spellMs { 600 };
    double spellFactor { 2.5 };
    // Engines that end at half of the time.
    size_t lostEngines { 0 };
    double seconds { 12 };
    // Shared tokens that an engine keeps. The parts that were least recently used are evicted.
    Relay::Tokens keptTokens { 100'000 };
};

struct Outcome {
    size_t sent { 0 };
    size_t begun { 0 };
    size_t onTime { 0 };
    size_t longest { 0 };
    size_t longestBegun { 0 };
    double onTimeShare() const { return sent == 0 ? 1 : static_cast<double>(onTime) / static_cast<double>(sent); }
    double begunShare() const { return sent == 0 ? 1 : static_cast<double>(begun) / static_cast<double>(sent); }
    double longestBegunShare() const { return longest == 0 ? 1 : static_cast<double>(longestBegun) / static_cast<double>(longest); }
};

class Fleet {
public:
    Fleet(Setting setting, std::vector<Kind> kinds)
        : m_setting(setting)
        , m_kinds(std::move(kinds))
        , m_outcomes(m_kinds.size())
    {
        for (size_t i = 0; i < m_setting.engines; ++i) {
            Relay::Endpoint endpoint;
            endpoint.id = "i-" + std::to_string((i + 1) * 2654435761);
            endpoint.service = "engines";
            endpoint.slots = static_cast<int64_t>(m_setting.slots);
            m_directory.put(endpoint);
            m_engines.push_back({ endpoint, {}, {}, {}, 0, {}, true });
        }
        for (const Kind& kind : m_kinds) {
            std::vector<double> weights;
            for (size_t i = 0; i < kind.parts; ++i)
                weights.push_back(std::pow(static_cast<double>(i + 1), -kind.skew));
            m_popularity.emplace_back(weights.begin(), weights.end());
        }
        for (size_t i = 0; i < m_setting.daemons; ++i) {
            m_selectors.push_back(std::make_unique<Relay::EndpointSelector>(m_directory, "zone-a"));
            if (m_setting.isPredicting) {
                m_selectors.back()->predictEngineLoad();
                m_selectors.back()->engineLoad()->setDaemons(m_setting.daemons);
            }
        }
    }

    // Sends the kinds' requests for the setting's time. What is sent in the last second is not counted, since it may still begin.
    void run()
    {
        auto steps = static_cast<size_t>(m_setting.seconds * 1'000 / stepLengthMs);
        for (size_t step = 0; step < steps; ++step) {
            if (step == steps / 2)
                loseEngines();
            m_isCounting = step + static_cast<size_t>(1'000 / stepLengthMs) < steps;
            for (size_t kind = 0; kind < m_kinds.size(); ++kind) {
                if (uniform() < m_kinds[kind].perSecond * stepLengthMs / 1'000)
                    send(kind);
            }
            for (Engine& engine : m_engines)
                advance(engine);
            m_now += std::chrono::microseconds(static_cast<int64_t>(stepLengthMs * 1'000));
        }
    }

    const Outcome& outcome(size_t kind) const { return m_outcomes[kind]; }
    // Shared tokens that were read although an engine had read them before.
    Relay::Tokens tokensReadAgain() const { return m_tokensReadAgain; }
    // Requests that were sent to engines after their end had been announced.
    size_t sentToLost() const { return m_sentToLost; }

private:
    static constexpr double stepLengthMs = 1;

    struct Request {
        size_t kind { 0 };
        size_t daemon { 0 };
        int urgency { 0 };
        bool isLongest { false };
        bool isCounted { false };
        double toRead { 0 };
        double toGenerate { 0 };
        double generated { 0 };
        TimePoint sentAt {};
        std::optional<Relay::EngineLoadModel::RunId> run;
    };

    struct Engine {
        Relay::Endpoint endpoint;
        std::vector<Request> running;
        std::deque<Request> queued;
        // The least recently used first.
        std::deque<std::pair<uint64_t, Relay::Tokens>> parts;
        Relay::Tokens keptTokens { 0 };
        TimePoint spellUntil;
        bool isRunning { true };
    };

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    // Tokens of a shared level that the engine reads, since it doesn't keep them.
    Relay::Tokens readShared(Engine& engine, uint64_t key, Relay::Tokens tokens)
    {
        bool isKept = std::erase_if(engine.parts, [key](const auto& part) { return part.first == key; }) > 0;
        engine.parts.emplace_back(key, tokens);
        if (isKept)
            return 0;
        engine.keptTokens += tokens;
        while (engine.keptTokens > m_setting.keptTokens) {
            engine.keptTokens -= engine.parts.front().second;
            engine.parts.pop_front();
        }
        if (!m_readBefore.insert(key).second)
            m_tokensReadAgain += tokens;
        return tokens;
    }

    void send(size_t kindIndex)
    {
        const Kind& kind = m_kinds[kindIndex];
        Request request;
        request.kind = kindIndex;
        request.daemon = m_random() % m_selectors.size();
        request.isCounted = m_isCounting;
        request.isLongest = kind.longestTokens > 0 && m_random() % 100 == 0;
        request.urgency = Relay::urgencyOf({ kind.priority, static_cast<int64_t>(kind.targetMs), 0, false });
        request.sentAt = m_now;
        size_t partIndex = kind.skew == 0 ? m_random() % kind.parts : m_popularity[kindIndex](m_random);
        uint64_t part = Core::hash64(kind.name + std::to_string(partIndex)) | 1;
        Relay::Tokens own = request.isLongest ? kind.longestTokens : kind.ownTokens;
        Relay::EnginePrompt prompt { part, kind.sharedTokens + own, kind.sharedTokens, kind.targetMs };
        Relay::SelectionQuery query { "engines", true, part, {}, false, prompt };
        Relay::EndpointSelector& selector = *m_selectors[request.daemon];
        const Relay::Endpoint* endpoint = selector.choose(query, m_now);
        Engine& engine = *std::find_if(m_engines.begin(), m_engines.end(), [endpoint](const Engine& other) { return other.endpoint.id == endpoint->id; });
        m_sentToLost += engine.isRunning ? 0 : 1;
        selector.recordStart(endpoint->id, m_now);
        if (Relay::EngineLoadModel* load = selector.engineLoad())
            request.run = load->recordSent(*endpoint, prompt, true, m_now);
        Relay::Tokens firstTokens = kind.firstLevels > 0 ? kind.sharedTokens / 2 : 0;
        Relay::Tokens sharedToRead = 0;
        if (firstTokens > 0)
            sharedToRead += readShared(engine, Core::hash64(kind.name + " first " + std::to_string(partIndex % kind.firstLevels)), firstTokens);
        sharedToRead += readShared(engine, part, kind.sharedTokens - firstTokens);
        request.toRead = static_cast<double>(own + sharedToRead);
        request.toGenerate = static_cast<double>(kind.outputTokens);
        if (m_isCounting) {
            ++m_outcomes[kindIndex].sent;
            m_outcomes[kindIndex].longest += request.isLongest ? 1 : 0;
        }
        auto isMoreUrgent = [&request](const Request& other) { return request.urgency < other.urgency; };
        engine.queued.insert(std::find_if(engine.queued.begin(), engine.queued.end(), isMoreUrgent), request);
    }

    void advance(Engine& engine)
    {
        if (m_setting.spellShare > 0 && m_now >= engine.spellUntil && uniform() < m_setting.spellShare / (1 - m_setting.spellShare) * stepLengthMs / m_setting.spellMs)
            engine.spellUntil = m_now + std::chrono::microseconds(static_cast<int64_t>(m_setting.spellMs * 1'000));
        double speed = m_now < engine.spellUntil ? 1 / m_setting.spellFactor : 1;
        while (!engine.queued.empty() && engine.running.size() < m_setting.slots) {
            engine.running.push_back(engine.queued.front());
            engine.queued.pop_front();
        }
        double tokens = m_setting.tokensPerMs * stepLengthMs * speed;
        std::stable_sort(engine.running.begin(), engine.running.end(), [](const Request& a, const Request& b) { return a.urgency < b.urgency; });
        double step = m_setting.stepMs + m_setting.stepMsPerRun * static_cast<double>(engine.running.size());
        for (Request& request : engine.running) {
            double read = std::min(tokens, request.toRead);
            tokens -= read;
            request.toRead -= read;
            if (request.toRead > 0)
                continue;
            double before = request.generated;
            request.generated += stepLengthMs * speed / step;
            auto events = static_cast<size_t>(request.generated) - static_cast<size_t>(before);
            if (events > 0)
                recordEvents(request, before < 1, events);
        }
        std::erase_if(engine.running, [this, &engine](const Request& request) {
            bool isOver = request.generated >= request.toGenerate;
            if (isOver)
                recordEnd(engine, request);
            return isOver;
        });
    }

    void recordEvents(const Request& request, bool isFirst, size_t events)
    {
        if (Relay::EngineLoadModel* load = m_selectors[request.daemon]->engineLoad())
            load->recordEvents(*request.run, events, m_now);
        if (!isFirst || !request.isCounted)
            return;
        Outcome& outcome = m_outcomes[request.kind];
        ++outcome.begun;
        outcome.longestBegun += request.isLongest ? 1 : 0;
        if (std::chrono::duration<double, std::milli>(m_now - request.sentAt).count() <= m_kinds[request.kind].targetMs)
            ++outcome.onTime;
    }

    void recordEnd(const Engine& engine, const Request& request)
    {
        Relay::EndpointSelector& selector = *m_selectors[request.daemon];
        selector.recordEnd(engine.endpoint.id, Relay::EndpointSelector::End::Success, m_now);
        if (selector.engineLoad())
            selector.engineLoad()->recordEnd(*request.run, m_now);
    }

    void loseEngines()
    {
        for (size_t i = 0; i < m_setting.lostEngines; ++i) {
            Engine& engine = m_engines[i];
            for (const std::deque<Request>& requests : { engine.queued, std::deque<Request>(engine.running.begin(), engine.running.end()) }) {
                for (const Request& request : requests)
                    recordEnd(engine, request);
            }
            engine.running.clear();
            engine.queued.clear();
            engine.isRunning = false;
            m_directory.remove(engine.endpoint.id, m_now);
            for (const std::unique_ptr<Relay::EndpointSelector>& selector : m_selectors)
                selector->forget(engine.endpoint.id);
        }
    }

    Setting m_setting;
    std::vector<Kind> m_kinds;
    std::vector<Outcome> m_outcomes;
    std::vector<std::discrete_distribution<size_t>> m_popularity;
    std::set<uint64_t> m_readBefore;
    Relay::Tokens m_tokensReadAgain { 0 };
    Relay::EndpointDirectory m_directory { {} };
    std::vector<Engine> m_engines;
    std::vector<std::unique_ptr<Relay::EndpointSelector>> m_selectors;
    std::mt19937_64 m_random { 7 };
    TimePoint m_now { std::chrono::hours(1) };
    bool m_isCounting { true };
    size_t m_sentToLost { 0 };
};

}
