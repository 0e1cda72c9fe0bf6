#pragma once

#include "LibRelay/EngineLoadModel.h"
#include <functional>

namespace Relay {

// Why an engine was chosen.
enum class EngineChoiceReason {
    // Nothing or little of the prompt is shared, or the part is spread over all engines.
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

// Chooses the engine at which a request's first event is predicted soonest. A shared part keeps to the first engines in its
// rendezvous order, as many as its requests need.
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

    std::vector<Candidate> candidatesOf(const std::vector<const Endpoint*>& engines, const EnginePrompt&, const Filter&) const;

    EngineLoadModel& m_model;
    std::array<uint64_t, engineChoiceReasons> m_choices {};
};

}
