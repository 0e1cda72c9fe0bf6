#include "LibCore/Random.h"
#include "LibRelay/EndpointSelector.h"

#include <array>
#include <criterion/criterion.h>
#include <set>

using namespace Relay;
using std::chrono::milliseconds;

static constexpr uint64_t sharedKey = 43;
static constexpr EnginePrompt hint { 41, 826, 198 };
static constexpr EnginePrompt commentary { sharedKey, 11'992, 5'382 };
static constexpr EnginePrompt longCommentary { sharedKey, 54'600, 5'382 };

// An answer of 385 tokens.
static constexpr milliseconds answerTime(1'400);

static Endpoint makeEngine(size_t number)
{
    Endpoint endpoint;
    endpoint.id = "i-" + std::to_string((number + 1) * 2654435761);
    endpoint.service = "engines";
    endpoint.failureDomain = "zone-a";
    endpoint.slots = 12;
    return endpoint;
}

namespace {

struct Engines {
    EndpointDirectory directory { {} };
    EndpointSelector selector { directory, "zone-a" };
    Core::SteadyClock::time_point now { std::chrono::hours(1) };

    explicit Engines(size_t count)
    {
        for (size_t i = 0; i < count; ++i)
            directory.put(makeEngine(i));
        selector.predictEngineLoad();
    }

    EngineLoadModel& load() { return *selector.engineLoad(); }
    const Endpoint& choose(const EnginePrompt& prompt) { return *selector.choose({ "engines", true, prompt.sharedKey, {}, false, prompt }, now); }

    // Sends a request, whose first event arrives after this time, and its last one after another.
    void serve(const Endpoint& engine, const EnginePrompt& prompt, double firstEventMs, milliseconds answer = answerTime)
    {
        EngineLoadModel::RunId run = load().recordSent(engine, prompt, true, now);
        now += std::chrono::microseconds(static_cast<int64_t>(firstEventMs * 1'000));
        load().recordEvents(run, 1, now);
        load().recordEnd(run, now += answer);
    }

    // Engines that were chosen in many choices.
    std::set<std::string> chosen(const EnginePrompt& prompt)
    {
        std::set<std::string> ids;
        for (int i = 0; i < 200; ++i)
            ids.insert(choose(prompt).id);
        return ids;
    }
};

}

// Guards against reading a shared part at many engines while the first one in its order is as soon as the others.
Test(EngineChooser, sharedPartKeepsToItsFirstEngine)
{
    Engines engines(100);
    std::set<std::string> chosen = engines.chosen(commentary);
    cr_assert_eq(chosen.size(), 1);
    EndpointSelector before(engines.directory, "zone-a");
    cr_assert_eq(*chosen.begin(), before.choose({ "engines", true, sharedKey, {} }, engines.now)->id);
}

// Guards against reading a short shared part at all engines, where it evicts others.
Test(EngineChooser, shortSharedPartKeepsToItsFirstEngine)
{
    Engines engines(100);
    std::set<std::string> chosen = engines.chosen(hint);
    cr_assert_eq(chosen.size(), 1);
    EndpointSelector before(engines.directory, "zone-a");
    cr_assert_eq(*chosen.begin(), before.choose({ "engines", true, hint.sharedKey, {}, false, {} }, engines.now)->id);
}

// Guards against reading a part elsewhere for a gain that is small beside the target.
Test(EngineChooser, marginGrowsWithTheTarget)
{
    for (double targetMs : { 0.0, 250.0, 1'000.0 }) {
        Engines engines(20);
        EnginePrompt prompt = hint;
        prompt.targetMs = targetMs;
        Endpoint first = engines.choose(prompt);
        // Read in 125 ms at the assumed speed.
        engines.load().recordSent(first, { 0, 10'000, 0 }, true, engines.now);
        cr_assert_eq(engines.choose(prompt).id == first.id, targetMs == 1'000, "%f", targetMs);
    }
}

// Guards against daemons that each send a part elsewhere when its first engine is late, and against trying others before the first
// three in the order are late.
Test(EngineChooser, allDaemonsAgreeOnTheNextEngines)
{
    Engines one(100);
    Engines other(100);
    std::set<std::string> late;
    for (int place = 0; place < 3; ++place) {
        std::set<std::string> chosen = one.chosen(commentary);
        cr_assert_eq(chosen.size(), 1);
        cr_assert(chosen == other.chosen(commentary));
        cr_assert(late.insert(*chosen.begin()).second);
        one.load().recordRefusal(*chosen.begin(), one.now);
        other.load().recordRefusal(*chosen.begin(), other.now);
    }
    std::set<std::string> chosen = one.chosen(commentary);
    cr_assert_geq(chosen.size(), 50);
    for (const std::string& id : late)
        cr_assert_not(chosen.contains(id));
}

// Guards against a rare part that seems popular since two of its few requests meet at one daemon.
Test(EngineChooser, rarePartIsNotSpread)
{
    Engines engines(112);
    engines.load().setDaemons(70);
    engines.load().recordSent(engines.choose(commentary), commentary, false, engines.now);
    engines.load().recordSent(engines.choose(commentary), commentary, false, engines.now);
    cr_assert_eq(engines.chosen(commentary).size(), 1);
}

// Guards against a hint being read behind a prompt of 54,600 tokens, and against avoiding the engine once that has been read.
Test(EngineChooser, hintAvoidsAPromptOf54600Tokens)
{
    Engines engines(4);
    Endpoint busy = engines.choose(hint);
    EngineLoadModel::RunId run = engines.load().recordSent(busy, longCommentary, true, engines.now);
    cr_assert_not(engines.chosen(hint).contains(busy.id));
    engines.now += milliseconds(200);
    cr_assert_not(engines.chosen(hint).contains(busy.id));
    engines.now += milliseconds(500);
    engines.load().recordEvents(run, 1, engines.now);
    engines.load().recordEnd(run, engines.now);
    engines.now += std::chrono::seconds(3);
    cr_assert(engines.chosen(hint).contains(busy.id));
}

// Guards against waiting for the first event of an engine that has stopped, before it is known to be slow.
Test(EngineChooser, overdueFirstEventCountsBeforeItArrives)
{
    Engines engines(20);
    Endpoint first = engines.choose(commentary);
    engines.load().recordSent(first, hint, true, engines.now);
    engines.now += milliseconds(400);
    cr_assert_neq(engines.choose(commentary).id, first.id);
}

// Guards against staying with an engine in a slow spell, and against avoiding it for longer than two seconds afterwards.
Test(EngineChooser, slowSpellIsNoticedAndForgotten)
{
    Engines engines(20);
    for (int i = 0; i < 50; ++i)
        engines.serve(engines.choose(commentary), commentary, 90);
    Endpoint first = engines.choose(commentary);
    engines.serve(first, commentary, 500, milliseconds(0));
    const Endpoint& next = engines.choose(commentary);
    cr_assert_neq(next.id, first.id);
    engines.now += milliseconds(2'000);
    cr_assert_lt(engines.load().latenessMs(first.id, engines.now), 100);
    engines.serve(first, commentary, 90, milliseconds(0));
    engines.now += milliseconds(500);
    cr_assert_eq(engines.choose(commentary).id, first.id);
}

// Guards against taking no notice of a slow spell in which this daemon sends the engine no new request: its streams show it.
Test(EngineChooser, slowStreamsShowASpell)
{
    Engines engines(20);
    Endpoint first = engines.choose(commentary);
    Endpoint other = makeEngine(first.id == makeEngine(0).id ? 1 : 0);
    EngineLoadModel::RunId slow = engines.load().recordSent(first, commentary, true, engines.now);
    EngineLoadModel::RunId steady = engines.load().recordSent(other, commentary, true, engines.now);
    engines.now += milliseconds(170);
    for (int i = 0; i < 200; ++i) {
        engines.now += milliseconds(4);
        engines.load().recordEvents(steady, 1, engines.now);
        if (i < 150 || i % 3 == 0)
            engines.load().recordEvents(slow, 1, engines.now);
    }
    cr_assert_neq(engines.choose(commentary).id, first.id);
}

// Guards against sending on to an engine that refuses because of its load when its short backoff is over.
Test(EngineChooser, refusalCountsAsLateness)
{
    Engines engines(20);
    Endpoint first = engines.choose(commentary);
    engines.selector.recordOverload(first.id, engines.now);
    engines.now += milliseconds(200);
    cr_assert_neq(engines.choose(commentary).id, first.id);
}

// Guards against one engine getting all requests with a part that needs more slots than it has, and against all engines reading it.
Test(EngineChooser, hotPartIsSpreadOverAsManyEnginesAsItNeeds)
{
    Engines engines(112);
    engines.load().setDaemons(70);
    std::vector<const Endpoint*> all;
    for (const auto& [id, endpoint] : engines.directory.endpoints())
        all.push_back(&endpoint);
    const EngineChooser& chooser = *engines.selector.engineChooser();
    std::vector<EngineLoadModel::RunId> runs;
    // First requests one after the other, with none in progress at most times.
    for (int i = 0; i < 40; ++i)
        engines.serve(engines.choose(commentary), commentary, 90);
    cr_assert_leq(chooser.homesOf(all, commentary), 2);
    // One request of each daemon in progress: 70 of 1,344 slots.
    for (int i = 0; i < 100; ++i) {
        EngineLoadModel::RunId run = engines.load().recordSent(engines.choose(commentary), commentary, true, engines.now);
        engines.load().recordEvents(run, 1, engines.now += milliseconds(90));
        engines.now += answerTime;
        runs.push_back(run);
        if (runs.size() > 1) {
            engines.load().recordEnd(runs.front(), engines.now);
            runs.erase(runs.begin());
        }
    }
    size_t homes = chooser.homesOf(all, commentary);
    cr_assert(homes >= 70 / 12 && homes <= 40, "%zu engines", homes);
}

// Guards against long prompts that leave slots free at an engine, but keep it reading all the time.
Test(EngineChooser, partOfLongPromptsIsSpreadByTheirReadingTime)
{
    Engines engines(112);
    engines.load().setDaemons(70);
    EnginePrompt longPrompt { sharedKey, 54'600, 5'382 };
    // Each daemon sends one after the other: 70 are read at any time, which take 280 engines at a quarter of their time.
    for (int i = 0; i < 100; ++i)
        engines.serve(engines.choose(longPrompt), longPrompt, 340);
    std::vector<const Endpoint*> all;
    for (const auto& [id, endpoint] : engines.directory.endpoints())
        all.push_back(&endpoint);
    size_t brief = engines.selector.engineChooser()->homesOf(all, longPrompt);
    EngineLoadModel::RunId last = engines.load().recordSent(makeEngine(0), longPrompt, true, engines.now);
    for (int i = 0; i < 100; ++i) {
        EngineLoadModel::RunId next = engines.load().recordSent(engines.choose(longPrompt), longPrompt, true, engines.now);
        engines.now += milliseconds(340);
        engines.load().recordEvents(last, 1, engines.now);
        engines.load().recordEnd(last, engines.now);
        last = next;
    }
    cr_assert_leq(brief, 2);
    size_t homes = engines.selector.engineChooser()->homesOf(all, longPrompt);
    cr_assert_geq(homes, all.size(), "%zu engines", homes);
}

// Guards against a prompt part moving between engines when others end: only the parts of those engines may move.
Test(EngineChooser, lossOfAQuarterMovesOnlyItsParts)
{
    Engines engines(112);
    std::map<uint64_t, std::string> before;
    for (uint64_t key = 1; key < 200; key += 2)
        before[key] = engines.choose({ key, 11'992, 5'382 }).id;
    for (size_t i = 0; i < 28; ++i) {
        engines.directory.remove(makeEngine(i).id, engines.now);
        engines.selector.forget(makeEngine(i).id);
    }
    for (const auto& [key, id] : before) {
        std::string now = engines.choose({ key, 11'992, 5'382 }).id;
        cr_assert(engines.directory.find(now));
        if (engines.directory.find(id))
            cr_assert_eq(now, id);
    }
}

// Guards against states of requests whose engine was forgotten, or whose end is recorded twice.
Test(EngineChooser, forgottenEnginesLeaveNoRequests)
{
    Engines engines(3);
    Endpoint engine = makeEngine(0);
    EngineLoadModel::RunId run = engines.load().recordSent(engine, commentary, true, engines.now);
    engines.selector.forget(engine.id);
    cr_assert_eq(engines.load().runs("engines"), 0);
    engines.load().recordEvents(run, 1, engines.now);
    engines.load().recordEnd(run, engines.now);
    engines.load().recordEnd(run, engines.now);
    cr_assert_eq(engines.load().runs("engines"), 0);
    EngineLoadModel::RunId again = engines.load().recordSent(engine, commentary, true, engines.now);
    engines.load().recordEnd(again, engines.now);
    cr_assert_eq(engines.load().runs("engines"), 0);
}

// Guards against refusing a request, or choosing an unusable engine, when none of the engines that were looked at can be used.
Test(EngineChooser, onlyUsableEngineIsFound)
{
    Engines engines(300);
    Endpoint usable = makeEngine(17);
    SelectionQuery query { "engines", true, sharedKey, {}, false, commentary };
    for (size_t i = 0; i < 300; ++i) {
        if (i != 17)
            engines.selector.recordPause(makeEngine(i), engines.now + std::chrono::hours(1), engines.now);
    }
    for (int i = 0; i < 20; ++i)
        cr_assert_eq(engines.selector.choose(query, engines.now)->id, usable.id);
    query.excluded.insert(usable.id);
    cr_assert_null(engines.selector.choose(query, engines.now));
}

// Guards against a reading speed that is not learned: an engine that reads 48 tokens in a millisecond needs a third of the time more
// often than one that reads 157.
Test(EngineChooser, readingSpeedIsLearned)
{
    for (double tokensPerMs : { 48.0, 157.0 }) {
        FirstEventFit fit;
        for (int i = 0; i < 200; ++i) {
            Tokens tokens = std::array<Tokens, 3> { 826, 2'368, 11'992 }[static_cast<size_t>(i % 3)];
            fit.add(tokens, 10 + static_cast<double>(tokens) / tokensPerMs);
        }
        cr_assert_float_eq(fit.msPerToken() * tokensPerMs, 1, 0.1, "%f", fit.msPerToken() * tokensPerMs);
        cr_assert_float_eq(fit.baseMs(), 10, 3, "%f", fit.baseMs());
    }
}

// The fastest of many choices, with a state for each engine.
static std::chrono::nanoseconds timeOfAChoice(size_t count, const EnginePrompt& prompt)
{
    Engines engines(count);
    engines.load().setDaemons(70);
    for (size_t i = 0; i < count; ++i) {
        engines.selector.recordStart(makeEngine(i).id, engines.now);
        engines.load().recordSent(makeEngine(i), hint, true, engines.now);
    }
    std::chrono::nanoseconds fastest = std::chrono::hours(1);
    for (int i = 0; i < 300; ++i) {
        Core::SteadyClock::time_point startedAt = Core::SteadyClock::now();
        engines.choose(prompt);
        fastest = std::min<std::chrono::nanoseconds>(fastest, Core::SteadyClock::now() - startedAt);
    }
    return fastest;
}

// Guards against processor time that grows faster than the number of engines. The target is 20 microseconds for 600 engines; the bounds
// leave room for a slow machine.
Test(EngineChooser, costOfAChoiceIsBounded)
{
    for (const EnginePrompt& prompt : { hint, commentary }) {
        std::chrono::nanoseconds few = timeOfAChoice(60, prompt);
        std::chrono::nanoseconds many = timeOfAChoice(600, prompt);
        cr_log_info("choice among 600 engines: %ld ns", static_cast<long>(many.count()));
        cr_assert_lt(many, few * 20, "%ld and %ld ns", static_cast<long>(few.count()), static_cast<long>(many.count()));
        cr_assert_lt(many, std::chrono::microseconds(200));
    }
}
