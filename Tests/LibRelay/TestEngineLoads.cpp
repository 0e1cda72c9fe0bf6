#include "SimulatedEngines.h"

#include <criterion/criterion.h>

// The choice of engines under the loads of the deployments, compared with the choice by the daemon's own requests in flight.
using namespace EngineSimulation;

static const Kind commentary { "commentary", 144, 5'382, 6'610, 54'600, 385, 1'000, 2 };
static const Kind hint { "hint", 186, 198, 628, 0, 286, 250, 0 };
static const Kind tag { "tag", 340, 568, 1'800, 0, 22, 300, 1 };
static const Kind rebuild { "rebuild", 150, 5'382, 6'610, 54'600, 385, 1'200, 1 };
static const Kind explainer { "explainer", 190, 198, 628, 0, 286, 1'200, 0 };
static const Kind slowTag { "tag", 340, 568, 1'800, 0, 22, 2'000, 2 };

static Setting deploymentB()
{
    Setting setting;
    setting.engines = 140;
    setting.slots = 24;
    setting.tokensPerMs = 48;
    setting.stepMs = 2.6;
    setting.spellShare = 0.15;
    return setting;
}

static std::vector<Outcome> play(const char* load, Setting setting, const std::vector<Kind>& kinds, bool isPredicting)
{
    Core::seedRandom(11);
    setting.isPredicting = isPredicting;
    Fleet fleet(setting, kinds);
    fleet.run();
    cr_assert_eq(fleet.sentToLost(), 0);
    std::vector<Outcome> outcomes;
    for (size_t i = 0; i < kinds.size(); ++i) {
        outcomes.push_back(fleet.outcome(i));
        const Outcome& outcome = outcomes.back();
        cr_log_info("%s, %s, %s: %zu sent, on time %.3f, begun %.3f, longest begun %.3f", load, isPredicting ? "predicted" : "before", kinds[i].name.c_str(), outcome.sent, outcome.onTimeShare(), outcome.begunShare(), outcome.longestBegunShare());
    }
    return outcomes;
}

// Whether no kind and no length of prompt is served far less often than others.
static void assertNoneStarves(const std::vector<Outcome>& outcomes)
{
    size_t sent = 0;
    size_t begun = 0;
    for (const Outcome& outcome : outcomes) {
        sent += outcome.sent;
        begun += outcome.begun;
    }
    for (const Outcome& outcome : outcomes) {
        cr_assert_geq(outcome.begunShare() * 4, static_cast<double>(begun) / static_cast<double>(sent));
        cr_assert_geq(outcome.longestBegunShare() * 2, outcome.begunShare());
    }
}

static void assertBetter(const char* load, const Setting& setting, const std::vector<Kind>& kinds)
{
    std::vector<Outcome> before = play(load, setting, kinds, false);
    std::vector<Outcome> predicted = play(load, setting, kinds, true);
    for (size_t i = 0; i < kinds.size(); ++i)
        cr_assert_geq(predicted[i].onTimeShare(), before[i].onTimeShare(), "%s", kinds[i].name.c_str());
    assertNoneStarves(predicted);
}

// Guards against all daemons sending a prompt part's requests to one engine while others are idle.
Test(EngineLoads, normalLoad)
{
    assertBetter("normal load", {}, { hint, tag, commentary });
}

// Guards against hints waiting behind long answers that fill the slots of their engine.
Test(EngineLoads, surgeOfLongAnswers)
{
    Kind surge = commentary;
    surge.perSecond *= 2;
    assertBetter("surge of long answers", {}, { hint, tag, surge });
}

// Guards against short urgent requests waiting for prompts that take seconds to read.
Test(EngineLoads, shortUrgentRequestsBehindLongPrompts)
{
    Kind longest = commentary;
    longest.name = "longest";
    longest.ownTokens = 54'600;
    longest.longestTokens = 0;
    longest.perSecond = 40;
    assertBetter("short urgent requests behind long prompts", {}, { hint, tag, longest });
}

// Guards against staying with an engine through its slow spells.
Test(EngineLoads, slowSpells)
{
    assertBetter("slow spells", deploymentB(), { explainer, rebuild, slowTag });
}

// Guards against requests to engines that have ended, and against piling up what they served on the next in the order.
Test(EngineLoads, quarterOfTheEnginesLost)
{
    Setting setting;
    setting.lostEngines = setting.engines / 4;
    assertBetter("a quarter of the engines lost", setting, { hint, tag, commentary });
}

// Guards against one engine getting all requests with a part that half of the callers use.
Test(EngineLoads, oneHotPromptPart)
{
    Kind hot = commentary;
    hot.name = "hot";
    hot.parts = 1;
    hot.perSecond /= 2;
    Kind cold = commentary;
    cold.perSecond /= 2;
    assertBetter("one hot prompt part", {}, { hint, tag, hot, cold });
}
