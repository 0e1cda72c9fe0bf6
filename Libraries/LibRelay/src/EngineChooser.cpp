#include "LibRelay/EngineChooser.h"

#include "LibCore/Hash.h"
#include "LibCore/Random.h"
#include <algorithm>
#include <cmath>
#include <utility>

namespace Relay {

// A shared part that an engine reads in less than this is not worth the requests of all daemons on a few engines.
static constexpr double minKeptReadingMs = 5;
// Engines whose predictions differ by less are near equals.
static constexpr double toleranceMs = 10;
// Engines of the part's own that are looked at, the next ones in its order, and others at random.
static constexpr size_t maxHomesSeen = 3;
static constexpr size_t nextInOrderSeen = 2;
static constexpr size_t othersSeen = 2;
// Draws for one candidate, some of which may be taken or unusable.
static constexpr size_t maxDraws = 4;
static constexpr int64_t assumedSlots = 8;
// Share of an engine's slots that the requests with one part may take, if the service as a whole uses less.
static constexpr double minUtilisation = 0.25;
static constexpr double maxUtilisation = 0.6;
// Share of the time in which an engine may read prompts with one part.
static constexpr double maxReadingShare = 0.25;

const char* nameOf(EngineChoiceReason reason)
{
    switch (reason) {
    case EngineChoiceReason::Random:
        return "random";
    case EngineChoiceReason::Kept:
        return "kept";
    case EngineChoiceReason::NextInOrder:
        return "next_in_order";
    case EngineChoiceReason::Sooner:
        return "sooner";
    }
    return "";
}

size_t EngineChooser::homesOf(const std::vector<const Endpoint*>& engines, const EnginePrompt& prompt) const
{
    if (engines.empty())
        return 0;
    if (prompt.sharedKey == 0 || m_model.readingMs(engines.front()->service, prompt.sharedTokens) < minKeptReadingMs)
        return engines.size();
    auto slots = static_cast<double>(engines.front()->slots > 0 ? engines.front()->slots : assumedSlots);
    auto daemons = static_cast<double>(m_model.daemons());
    double usedSlots = static_cast<double>(m_model.runs(engines.front()->service)) * daemons;
    double utilisation = std::clamp(usedSlots / (slots * static_cast<double>(engines.size())), minUtilisation, maxUtilisation);
    double neededToRun = m_model.concurrencyOf(prompt.sharedKey) * daemons / (slots * utilisation);
    double neededToRead = m_model.readingConcurrencyOf(engines.front()->service, prompt) * daemons / maxReadingShare;
    double needed = std::ceil(std::max(neededToRun, neededToRead));
    return static_cast<size_t>(std::clamp(needed, 1.0, static_cast<double>(engines.size())));
}

// Candidates in the order of preference.
std::vector<EngineChooser::Candidate> EngineChooser::candidatesOf(const std::vector<const Endpoint*>& engines, const EnginePrompt& prompt, const Filter& isUsable) const
{
    std::vector<Candidate> candidates;
    auto add = [&candidates, &isUsable](const Endpoint* engine, EngineChoiceReason reason) {
        bool isKnown = std::any_of(candidates.begin(), candidates.end(), [engine](const Candidate& candidate) { return candidate.engine == engine; });
        if (!isKnown && isUsable(*engine))
            candidates.push_back({ engine, reason });
        return !isKnown;
    };
    size_t homes = homesOf(engines, prompt);
    bool isSpread = homes >= engines.size();
    if (!isSpread) {
        std::vector<std::pair<uint64_t, const Endpoint*>> order;
        order.reserve(engines.size());
        for (const Endpoint* engine : engines)
            order.emplace_back(Core::hash64(engine->id, prompt.sharedKey), engine);
        auto isBefore = [](const auto& a, const auto& b) { return a.first > b.first; };
        size_t ordered = std::min(homes + nextInOrderSeen, order.size());
        auto firstNext = order.begin() + static_cast<std::ptrdiff_t>(homes);
        std::nth_element(order.begin(), firstNext, order.end(), isBefore);
        std::partial_sort(firstNext, order.begin() + static_cast<std::ptrdiff_t>(ordered), order.end(), isBefore);
        // Among its own engines, each request starts at a random one.
        size_t start = Core::randomBelow(homes);
        for (size_t i = 0; i < std::min(homes, maxHomesSeen); ++i)
            add(order[(start + i) % homes].second, EngineChoiceReason::Kept);
        for (size_t i = homes; i < ordered; ++i)
            add(order[i].second, EngineChoiceReason::NextInOrder);
    }
    EngineChoiceReason reason = isSpread ? EngineChoiceReason::Random : EngineChoiceReason::Sooner;
    size_t wanted = candidates.size() + othersSeen;
    for (size_t draw = 0; draw < maxDraws * othersSeen && candidates.size() < wanted; ++draw)
        add(engines[Core::randomBelow(engines.size())], reason);
    return candidates;
}

const Endpoint* EngineChooser::choose(const std::vector<const Endpoint*>& engines, const EnginePrompt& prompt, const Filter& isUsable, TimePoint now)
{
    if (engines.empty())
        return nullptr;
    std::vector<Candidate> candidates = candidatesOf(engines, prompt, isUsable);
    if (candidates.empty())
        return nullptr;
    std::vector<double> predictions;
    predictions.reserve(candidates.size());
    for (const Candidate& candidate : candidates) {
        bool isKept = candidate.reason == EngineChoiceReason::Kept || m_model.hasSent(candidate.engine->id, prompt.sharedKey, now);
        predictions.push_back(m_model.predictMs(*candidate.engine, prompt, isKept, now));
    }
    double limit = *std::min_element(predictions.begin(), predictions.end()) + toleranceMs;
    size_t chosen = 0;
    while (predictions[chosen] > limit)
        ++chosen;
    if (candidates[chosen].reason == EngineChoiceReason::Kept)
        m_model.assumeKept(candidates[chosen].engine->id, prompt.sharedKey, now);
    ++m_choices.at(static_cast<size_t>(candidates[chosen].reason));
    return candidates[chosen].engine;
}

}
