#include "LibRelay/EngineChooser.h"

#include "LibCore/Hash.h"
#include "LibCore/Random.h"
#include <algorithm>
#include <cmath>
#include <utility>

namespace Relay {

// Engines whose predictions differ by less are near equals where nothing is kept.
static constexpr double toleranceMs = 10;
// A part leaves an engine that keeps it only for one that is sooner by this, or by this share of the target if that is more: each
// engine at which the part is read evicts others.
static constexpr double minMarginMs = 50;
static constexpr double marginShareOfTarget = 0.25;
// First events that come later than predicted by the margin, or by this if that is less, are late. A refusal counts as more.
static constexpr double maxLateMs = 100;
// Usable engines that are looked at in the part's order, and positions at which they are looked for.
static constexpr size_t usableSeen = 3;
static constexpr size_t positionsSeen = 5;
static constexpr size_t othersSeen = 2;
// Draws for one candidate, some of which may be taken or unusable.
static constexpr size_t maxDraws = 4;
static constexpr int64_t assumedSlots = 8;
// Share of an engine's slots, and of its time for reading, that the requests with one part may take. The prediction of the time for
// reading leaves out what is not proportional to the tokens.
static constexpr double maxShareOfSlots = 0.5;
static constexpr double maxReadingShare = 0.4;

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
    if (prompt.sharedKey == 0)
        return engines.size();
    auto slots = static_cast<double>(engines.front()->slots > 0 ? engines.front()->slots : assumedSlots);
    auto daemons = static_cast<double>(m_model.daemons());
    double neededToRun = m_model.concurrencyOf(prompt.sharedKey) * daemons / (slots * maxShareOfSlots);
    double neededToRead = m_model.readingConcurrencyOf(engines.front()->service, prompt) * daemons / maxReadingShare;
    double needed = std::ceil(std::max(neededToRun, neededToRead));
    return static_cast<size_t>(std::clamp(needed, 1.0, static_cast<double>(engines.size())));
}

std::vector<EngineChooser::Candidate> EngineChooser::inOrder(const std::vector<const Endpoint*>& engines, const EnginePrompt& prompt, size_t homes, const Filter& isUsable) const
{
    std::vector<std::pair<uint64_t, const Endpoint*>> order;
    order.reserve(engines.size());
    for (const Endpoint* engine : engines)
        order.emplace_back(Core::hash64(engine->id, prompt.sharedKey), engine);
    size_t ordered = std::min(std::max(homes, positionsSeen), order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(ordered), order.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
    std::vector<Candidate> candidates;
    // Among its own engines, each request starts at a random one.
    size_t start = homes > 1 ? Core::randomBelow(homes) : 0;
    for (size_t i = 0; i < ordered && candidates.size() < usableSeen; ++i) {
        const Endpoint* engine = order[i < homes ? (start + i) % homes : i].second;
        if (isUsable(*engine))
            candidates.push_back({ engine, i < homes ? EngineChoiceReason::Kept : EngineChoiceReason::NextInOrder });
    }
    return candidates;
}

void EngineChooser::addRandom(std::vector<Candidate>& candidates, const std::vector<const Endpoint*>& engines, EngineChoiceReason reason, const Filter& isUsable)
{
    size_t wanted = candidates.size() + othersSeen;
    for (size_t draw = 0; draw < maxDraws * othersSeen && candidates.size() < wanted; ++draw) {
        const Endpoint* engine = engines[Core::randomBelow(engines.size())];
        bool isKnown = std::any_of(candidates.begin(), candidates.end(), [engine](const Candidate& candidate) { return candidate.engine == engine; });
        if (!isKnown && isUsable(*engine))
            candidates.push_back({ engine, reason });
    }
}

double EngineChooser::predictMs(const Candidate& candidate, const EnginePrompt& prompt, TimePoint now) const
{
    bool isKept = candidate.reason == EngineChoiceReason::Kept || m_model.hasSent(candidate.engine->id, prompt.sharedKey, now);
    return m_model.predictMs(*candidate.engine, prompt, isKept, now);
}

std::optional<size_t> EngineChooser::firstInTime(const std::vector<Candidate>& candidates, const EnginePrompt& prompt, TimePoint now) const
{
    std::vector<double> predictions;
    for (const Candidate& candidate : candidates)
        predictions.push_back(predictMs(candidate, prompt, now));
    double margin = std::max(minMarginMs, marginShareOfTarget * prompt.targetMs);
    auto isLate = [&](size_t i) { return m_model.latenessMs(candidates[i].engine->id, now) >= std::min(margin, maxLateMs); };
    std::optional<double> earliest;
    for (size_t i = 0; i < candidates.size(); ++i) {
        if (!isLate(i))
            earliest = std::min(earliest.value_or(predictions[i]), predictions[i]);
    }
    if (!earliest)
        return std::nullopt;
    for (size_t i = 0; i < candidates.size(); ++i) {
        // A late engine is still taken if the others are later.
        if (predictions[i] <= (isLate(i) ? *earliest : *earliest + margin))
            return i;
    }
    return std::nullopt;
}

size_t EngineChooser::soonest(const std::vector<Candidate>& candidates, const EnginePrompt& prompt, TimePoint now) const
{
    std::vector<double> predictions;
    for (const Candidate& candidate : candidates)
        predictions.push_back(predictMs(candidate, prompt, now));
    double limit = *std::min_element(predictions.begin(), predictions.end()) + toleranceMs;
    size_t chosen = 0;
    while (predictions[chosen] > limit)
        ++chosen;
    return chosen;
}

const Endpoint* EngineChooser::choose(const std::vector<const Endpoint*>& engines, const EnginePrompt& prompt, const Filter& isUsable, TimePoint now)
{
    if (engines.empty())
        return nullptr;
    size_t homes = homesOf(engines, prompt);
    bool isSpread = prompt.sharedKey == 0;
    std::vector<Candidate> candidates;
    std::optional<size_t> position;
    if (!isSpread) {
        candidates = inOrder(engines, prompt, homes, isUsable);
        position = firstInTime(candidates, prompt, now);
    }
    if (!position) {
        addRandom(candidates, engines, isSpread ? EngineChoiceReason::Random : EngineChoiceReason::Sooner, isUsable);
        if (candidates.empty())
            return nullptr;
        position = soonest(candidates, prompt, now);
    }
    const Candidate& chosen = candidates[*position];
    if (chosen.reason == EngineChoiceReason::Kept)
        m_model.assumeKept(chosen.engine->id, prompt.sharedKey, now);
    ++m_choices.at(static_cast<size_t>(chosen.reason));
    return chosen.engine;
}

}
