#include "SimulatedEngines.h"

#include <criterion/criterion.h>

// The choice of engines under the loads of the deployments, compared with the choice by the daemon's own requests in flight.
using namespace EngineSimulation;

// Shared tokens read again, relative to the choice by requests in flight.
static constexpr double maxReadAgainRatio = 1.3;

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

// Parts as in the deployments: so many that an engine keeps few of them, and none far more popular than the rest.
static std::vector<Kind> withManyParts(std::vector<Kind> kinds)
{
    for (Kind& kind : kinds) {
        if (kind.parts == 1)
            continue;
        kind.parts = 1'000;
        kind.skew = 0.4;
        kind.firstLevels = 20;
    }
    return kinds;
}

struct Result {
    std::vector<Outcome> outcomes;
    Relay::Tokens tokensReadAgain { 0 };
};

static Result play(const char* load, Setting setting, const std::vector<Kind>& kinds, bool isPredicting)
{
    Core::seedRandom(11);
    setting.isPredicting = isPredicting;
    Fleet fleet(setting, kinds);
    fleet.run();
    cr_assert_eq(fleet.sentToLost(), 0);
    Result result;
    result.tokensReadAgain = fleet.tokensReadAgain();
    std::vector<Outcome>& outcomes = result.outcomes;
    for (size_t i = 0; i < kinds.size(); ++i) {
        outcomes.push_back(fleet.outcome(i));
        const Outcome& outcome = outcomes.back();
        cr_log_info("%s, %s, %s: %zu sent, on time %.3f, begun %.3f, longest begun %.3f", load, isPredicting ? "predicted" : "before", kinds[i].name.c_str(), outcome.sent, outcome.onTimeShare(), outcome.begunShare(), outcome.longestBegunShare());
    }
    cr_log_info("%s, %s: %ld shared tokens read again", load, isPredicting ? "predicted" : "before", static_cast<long>(result.tokensReadAgain));
    return result;
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
    std::vector<Outcome> before = play(load, setting, kinds, false).outcomes;
    std::vector<Outcome> predicted = play(load, setting, kinds, true).outcomes;
    for (size_t i = 0; i < kinds.size(); ++i)
        cr_assert_geq(predicted[i].onTimeShare(), before[i].onTimeShare(), "%s", kinds[i].name.c_str());
    assertNoneStarves(predicted);
}

// As assertBetter, with many parts, and without reading shared parts again at engines that evict others for them.
static void assertBetterWithManyParts(const char* load, Setting setting, const std::vector<Kind>& kinds)
{
    setting.seconds = 30;
    std::vector<Kind> many = withManyParts(kinds);
    Result before = play(load, setting, many, false);
    Result predicted = play(load, setting, many, true);
    for (size_t i = 0; i < kinds.size(); ++i)
        cr_expect_geq(predicted.outcomes[i].onTimeShare(), before.outcomes[i].onTimeShare(), "%s", kinds[i].name.c_str());
    double ratio = static_cast<double>(predicted.tokensReadAgain) / static_cast<double>(before.tokensReadAgain);
    cr_expect_leq(ratio, maxReadAgainRatio, "%f times as many tokens read again", ratio);
    assertNoneStarves(predicted.outcomes);
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

// The loads above with many parts guard against gains at one kind that are paid for by reading shared parts at more engines.

Test(EngineLoads, normalLoadWithManyParts)
{
    assertBetterWithManyParts("normal load, many parts", {}, { hint, tag, commentary });
}

Test(EngineLoads, surgeOfLongAnswersWithManyParts)
{
    Kind surge = commentary;
    surge.perSecond *= 2;
    assertBetterWithManyParts("surge of long answers, many parts", {}, { hint, tag, surge });
}

Test(EngineLoads, shortUrgentRequestsBehindLongPromptsWithManyParts)
{
    Kind longest = commentary;
    longest.name = "longest";
    longest.ownTokens = 54'600;
    longest.longestTokens = 0;
    longest.perSecond = 40;
    assertBetterWithManyParts("short urgent requests behind long prompts, many parts", {}, { hint, tag, longest });
}

Test(EngineLoads, slowSpellsWithManyParts)
{
    assertBetterWithManyParts("slow spells, many parts", deploymentB(), { explainer, rebuild, slowTag });
}

Test(EngineLoads, quarterOfTheEnginesLostWithManyParts)
{
    Setting setting;
    setting.lostEngines = setting.engines / 4;
    assertBetterWithManyParts("a quarter of the engines lost, many parts", setting, { hint, tag, commentary });
}

Test(EngineLoads, oneHotPromptPartWithManyParts)
{
    Kind hot = commentary;
    hot.name = "hot";
    hot.parts = 1;
    hot.perSecond /= 2;
    Kind cold = commentary;
    cold.perSecond /= 2;
    assertBetterWithManyParts("one hot prompt part, many parts", {}, { hint, tag, hot, cold });
}
