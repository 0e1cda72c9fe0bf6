#pragma once

#include "LibRelay/EngineLoadModel.h"
#include <functional>

namespace Relay {

// Why an engine was chosen.
enum class EngineChoiceReason {
    // Nothing of the prompt is shared.
    Random,
    // One of the engines that are expected to keep the shared part.
    Kept,
    // The next ones in the part's order, since those that keep it are predicted to be later.
    NextInOrder,
    // An engine outside of that, since all of those are predicted to be later.
    Sooner,
};
static constexpr size_t engineChoiceReasons = 4;
const char* nameOf(EngineChoiceReason);

// Chooses engines by the predicted time to a request's first event. A shared part keeps to the first engine in its rendezvous order
// unless that is clearly later than the next ones. A part that needs more than one engine is spread over the first ones.
class EngineChooser {
public:
    using TimePoint = EngineLoadModel::TimePoint;
    // Whether an engine may be chosen. Called for few engines in one choice.
    using Filter = std::function<bool(const Endpoint&)>;

    explicit EngineChooser(EngineLoadModel& model)
        : m_model(model)
    {
    }

    // The engines are those of one service. Null if none of those that were looked at may be chosen.
    const Endpoint* choose(const std::vector<const Endpoint*>& engines, const EnginePrompt&, const Filter&, TimePoint now);
    // Over how many engines the requests with the shared part are spread.
    size_t homesOf(const std::vector<const Endpoint*>& engines, const EnginePrompt&) const;

    uint64_t choices(EngineChoiceReason reason) const { return m_choices.at(static_cast<size_t>(reason)); }

private:
    struct Candidate {
        const Endpoint* engine { nullptr };
        EngineChoiceReason reason { EngineChoiceReason::Random };
    };

    // The first usable engines in the part's order.
    std::vector<Candidate> inOrder(const std::vector<const Endpoint*>& engines, const EnginePrompt&, size_t homes, const Filter&) const;
    static void addRandom(std::vector<Candidate>&, const std::vector<const Endpoint*>& engines, EngineChoiceReason, const Filter&);
    double predictMs(const Candidate&, const EnginePrompt&, TimePoint now) const;
    // Position of the first candidate that is not late and not clearly later than the soonest. Empty if all are late.
    std::optional<size_t> firstInTime(const std::vector<Candidate>&, const EnginePrompt&, TimePoint now) const;
    // Position of the first candidate whose prediction exceeds the soonest one's by less than the tolerance.
    size_t soonest(const std::vector<Candidate>&, const EnginePrompt&, TimePoint now) const;

    EngineLoadModel& m_model;
    std::array<uint64_t, engineChoiceReasons> m_choices {};
};

}
