#include "LibCore/EventLog.h"
#include "LibPlatform/InMemoryObjectStore.h"
#include "LibRelay/QuarantineStore.h"
#include "LibRelay/StoreFollower.h"
#include "RunTask.h"
#include <algorithm>
#include <iostream>
#include <sstream>

using namespace Relay;
using Core::SteadyClock;
using std::chrono::milliseconds;

static const std::vector<PromptPart> deadlyPrompt { { "deadly", 1 }, { "x", 1 } };
static const std::string deadlyName = suspectNameOf(suspectKeyOf("deadly"));

static QuarantineStoreSettings fastSettings()
{
    QuarantineStoreSettings settings;
    settings.writeIntervalMs = 20;
    settings.retryDelayMs = 20;
    return settings;
}

static FollowerHooks hooksOf(QuarantineStore& store)
{
    FollowerHooks hooks;
    hooks.listed = [&store](const std::vector<Platform::Object>& objects) { store.replaceAll(objects); };
    hooks.changed = [&store](const Platform::Change& change) { store.adopt(change); };
    hooks.lost = [](const Core::Reason&) {};
    hooks.regained = [] {};
    return hooks;
}

namespace {

// What a daemon knows and shares.
struct Daemon {
    PromptQuarantine quarantine;
    QuarantineStore store;
    StoreFollower follower;

    Daemon(boost::asio::io_context& context, const Platform::ObjectStore& objects, QuarantineSettings settings, QuarantineStoreSettings storeSettings)
        : quarantine(settings, [this] { store.wake(); })
        , store(context.get_executor(), objects, quarantine, storeSettings)
        , follower(context.get_executor(), objects, SuspectPart::prefix, {}, hooksOf(store))
    {
        Core::spawn(context.get_executor(), "follow", follower.run());
        Core::spawn(context.get_executor(), "share", store.run());
    }

    void crash(const std::vector<PromptPart>& parts, int engine) { quarantine.recordCrash(parts, { "e" + std::to_string(engine), 1 }, SteadyClock::now()); }
    bool isRefusing() const { return quarantine.findQuarantined(deadlyPrompt, SteadyClock::now()).has_value(); }
};

struct Fleet {
    boost::asio::io_context context;
    Platform::InMemoryObjectStore store { context.get_executor() };
    std::vector<std::unique_ptr<Daemon>> daemons;

    explicit Fleet(size_t size, QuarantineSettings settings = {}, QuarantineStoreSettings storeSettings = fastSettings())
    {
        for (size_t i = 0; i < size; ++i)
            daemons.push_back(std::make_unique<Daemon>(context, store.hooks(), settings, storeSettings));
        TestSupport::runUntil(context, [this] { return std::all_of(daemons.begin(), daemons.end(), [](const std::unique_ptr<Daemon>& daemon) { return daemon->follower.hasListed(); }); });
    }

    bool isRefusedEverywhere() const
    {
        return std::all_of(daemons.begin(), daemons.end(), [](const std::unique_ptr<Daemon>& daemon) { return daemon->isRefusing(); });
    }

    void run(milliseconds time)
    {
        context.restart();
        context.run_for(time);
    }

    size_t records()
    {
        Core::Reason reason;
        return TestSupport::runTask(context, store.hooks().list(SuspectPart::prefix, Core::Deadline::after(milliseconds(1'000)), reason))->objects.size();
    }
};

}

// Guards against daemons that each wait for three crashes of their own: a deadly part's requests come at any daemon, and the
// reports of several daemons at the same time must not overwrite each other.
Test(QuarantineStore, crashesAtDifferentDaemonsAddUp)
{
    Fleet fleet(5);
    for (int i = 0; i < 3; ++i)
        fleet.daemons[static_cast<size_t>(i)]->crash(deadlyPrompt, i);
    TestSupport::runUntil(fleet.context, [&fleet] { return fleet.isRefusedEverywhere(); });
    Daemon restarted(fleet.context, fleet.store.hooks(), {}, fastSettings());
    TestSupport::runUntil(fleet.context, [&restarted] { return restarted.isRefusing(); });
}

// Guards against losing a report with the store's answer, a conflict or an outage.
Test(QuarantineStore, reportsSurviveFaultsOfTheStore)
{
    Fleet fleet(2);
    fleet.store.loseReplies(1);
    fleet.daemons[0]->crash(deadlyPrompt, 0);
    fleet.run(milliseconds(100));
    fleet.store.loseRequests(1);
    fleet.daemons[0]->crash(deadlyPrompt, 1);
    fleet.run(milliseconds(100));
    fleet.store.limitRate(1);
    fleet.daemons[1]->crash(deadlyPrompt, 2);
    TestSupport::runUntil(fleet.context, [&fleet] { return fleet.isRefusedEverywhere(); });
    cr_assert_eq(fleet.records(), 1);
}

// Guards against refusing sound requests for ten minutes after crashes at daemons that do not know the part's answers.
Test(QuarantineStore, answersAtAnotherDaemonClearAPart)
{
    Fleet fleet(4);
    for (int i = 0; i < 3; ++i)
        fleet.daemons[0]->crash(deadlyPrompt, i);
    TestSupport::runUntil(fleet.context, [&fleet] { return fleet.isRefusedEverywhere(); });
    fleet.daemons[3]->quarantine.recordSurvival(deadlyPrompt, SteadyClock::now());
    TestSupport::runUntil(fleet.context, [&fleet] { return std::none_of(fleet.daemons.begin(), fleet.daemons.end(), [](const std::unique_ptr<Daemon>& daemon) { return daemon->isRefusing(); }); });
    fleet.run(milliseconds(300));
    cr_assert_eq(fleet.records(), 0);
    fleet.daemons[0]->crash(deadlyPrompt, 7);
    fleet.run(milliseconds(300));
    cr_assert_eq(fleet.records(), 0);
}

// Guards against a quarantine that no operator can end.
Test(QuarantineStore, removingTheObjectByHandClearsAPart)
{
    Fleet fleet(2);
    for (int i = 0; i < 3; ++i)
        fleet.daemons[0]->crash(deadlyPrompt, i);
    TestSupport::runUntil(fleet.context, [&fleet] { return fleet.isRefusedEverywhere(); });
    Core::Reason reason;
    Core::Deadline deadline = Core::Deadline::after(milliseconds(1'000));
    std::optional<Platform::Object> object = TestSupport::runTask(fleet.context, fleet.store.hooks().get(deadlyName, deadline, reason));
    cr_assert(TestSupport::runTask(fleet.context, fleet.store.hooks().remove(deadlyName, object->version, deadline, reason)));
    TestSupport::runUntil(fleet.context, [&fleet] { return !fleet.daemons[0]->isRefusing() && !fleet.daemons[1]->isRefusing(); });
}

// Guards against records that stay in the store forever.
Test(QuarantineStore, expiredRecordsAreRemoved)
{
    QuarantineSettings settings;
    settings.quarantineTime = milliseconds(400);
    settings.maxExpiryDelay = milliseconds(100);
    Fleet fleet(3, settings);
    for (int i = 0; i < 3; ++i)
        fleet.daemons[0]->crash(deadlyPrompt, i);
    TestSupport::runUntil(fleet.context, [&fleet] { return fleet.isRefusedEverywhere(); });
    fleet.run(milliseconds(800));
    cr_assert_eq(fleet.records(), 0);
    cr_assert_not(fleet.daemons[1]->isRefusing());
}

// Guards against flooding the store when many engines end at once with many requests each.
Test(QuarantineStore, crashOfManyEnginesDoesNotFloodTheStore)
{
    QuarantineStoreSettings settings;
    settings.writeIntervalMs = 100;
    Fleet fleet(1, {}, settings);
    size_t writesBefore = fleet.store.writes();
    for (int engine = 0; engine < 20; ++engine) {
        for (int part = 0; part < 20; ++part)
            fleet.daemons[0]->crash({ { "p" + std::to_string(engine * 20 + part), 1 }, { "x", 1 } }, engine);
    }
    fleet.run(milliseconds(1'050));
    size_t writes = fleet.store.writes() - writesBefore;
    cr_assert_leq(writes, 11);
    cr_assert_geq(writes, 5);
}

// Guards against adopting an object of another shape, which a different program or version may have written, or hiding it.
Test(QuarantineStore, objectsOfWrongShapeAreIgnored)
{
    std::ostringstream log;
    std::streambuf* previous = std::cerr.rdbuf(log.rdbuf());
    Core::initialiseLog("test", Core::Severity::Info);
    {
        boost::asio::io_context context;
        Platform::InMemoryObjectStore objects(context.get_executor());
        PromptQuarantine quarantine;
        QuarantineStore store(context.get_executor(), objects.hooks(), quarantine);
        std::string crashes = R"([{"endpoint":"e1","started_at_ms":1},{"endpoint":"e2","started_at_ms":1},{"endpoint":"e3","started_at_ms":1}])";
        std::vector<std::string> values { "null", "7", "{", "[]", R"({"part":"deadly"})", R"({"part":7,"crashes":)" + crashes + "}", R"({"part":"other","crashes":)" + crashes + "}",
            R"({"part":"deadly","crashes":[{"endpoint":"e1"}]})", R"({"part":"deadly","crashes":[{"endpoint":"e1","started_at_ms":"1"}]})", R"({"part":"deadly","crashes":[7]})" };
        for (const std::string& value : values) {
            store.replaceAll({ { deadlyName, 1, value } });
            store.adopt({ { deadlyName, 1, value }, false });
        }
        store.adopt({ { "relay-suspect-parts/x", 1, "" }, true });
        cr_assert_eq(quarantine.suspects(), 0);
        store.replaceAll({ { deadlyName, 1, R"({"part":"deadly","crashes":)" + crashes + "}" } });
        cr_assert(quarantine.findQuarantined(deadlyPrompt, SteadyClock::now()));
        Core::closeLog();
        std::cerr.rdbuf(previous);
        size_t lines = 0;
        for (size_t at = log.str().find("E1729 suspect_ignored: object=" + deadlyName); at != std::string::npos; at = log.str().find("E1729", at + 1))
            ++lines;
        cr_assert_eq(lines, 2 * values.size(), "%s", log.str().c_str());
    }
}
