#include "LibRelay/PromptQuarantine.h"
#include <criterion/criterion.h>

using namespace Relay;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

using TimePoint = Core::SteadyClock::time_point;

static const TimePoint start = TimePoint() + std::chrono::hours(1);

static std::vector<PromptPart> prompt(const std::vector<std::string>& ids)
{
    std::vector<PromptPart> parts;
    for (const std::string& id : ids)
        parts.push_back({ id, 1 });
    return parts;
}

// The crash of an engine's first process.
static EngineCrash crashOf(int engine)
{
    return { "e" + std::to_string(engine), 1'000 };
}

static SuspectRecord recordOf(const std::string& id, Platform::Version version, const std::vector<EngineCrash>& crashes)
{
    return { { id, crashes }, version };
}

// Guards against refusing sound requests that share the popular parts of a deadly prompt.
Test(PromptQuarantine, popularPartsOfADeadlyPromptAreNeverSuspects)
{
    PromptQuarantine quarantine({}, {}, start);
    for (int i = 0; i < 3; ++i) {
        TimePoint now = start + seconds(i);
        quarantine.recordSurvival(prompt({ "popular", "sound", "s" + std::to_string(i) }), now);
        quarantine.recordCrash(prompt({ "popular", "deadly", "d" + std::to_string(i) }), crashOf(i), now);
    }
    TimePoint now = start + seconds(3);
    cr_assert_eq(quarantine.findQuarantined(prompt({ "popular", "deadly", "x" }), now)->id, "deadly");
    cr_assert_not(quarantine.findQuarantined(prompt({ "popular", "sound", "x" }), now));
    cr_assert_eq(quarantine.suspects(), 1);
}

// Guards against sending prompts that may crash engines to many of them, and against treating sound prompts like them.
Test(PromptQuarantine, partsAreSuspectedFromTheFirstCrashUntilASurvivedAnswer)
{
    PromptQuarantine quarantine({}, {}, start);
    cr_assert_not(quarantine.isSuspected(prompt({ "shared", "part", "x" }), start));
    quarantine.recordSurvival(prompt({ "shared", "sound", "s" }), start);
    quarantine.recordCrash(prompt({ "shared", "part", "x" }), crashOf(1), start);
    cr_assert(quarantine.isSuspected(prompt({ "shared", "part", "y" }), start + seconds(1)));
    cr_assert_not(quarantine.isSuspected(prompt({ "shared", "sound", "y" }), start + seconds(1)));
    cr_assert_not(quarantine.isSuspected(prompt({ "other", "part" }), start + seconds(1)));
    quarantine.recordSurvival(prompt({ "shared", "part", "y" }), start + seconds(2));
    cr_assert_not(quarantine.isSuspected(prompt({ "shared", "part", "z" }), start + seconds(2)));
}

// Guards against refusing sound requests for ten minutes because they share a rare part with all deadly requests so far: no daemon
// has an answer with it, and none could come while it is refused.
Test(PromptQuarantine, partsThatCrashedTheSameEnginesAreOnlyRefusedTogether)
{
    for (bool isRefutedByAnswer : { false, true }) {
        PromptQuarantine quarantine({}, {}, start);
        for (int i = 0; i < 3; ++i)
            quarantine.recordCrash(prompt({ "rare", "deadly", "x" }), crashOf(i), start);
        cr_assert(quarantine.findQuarantined(prompt({ "rare", "deadly", "x" }), start));
        cr_assert_not(quarantine.findQuarantined(prompt({ "rare", "sound", "x" }), start));
        cr_assert_not(quarantine.findQuarantined(prompt({ "other", "deadly", "x" }), start));
        if (isRefutedByAnswer) {
            quarantine.recordSurvival(prompt({ "rare", "x" }), start);
        } else {
            quarantine.recordCrash(prompt({ "other", "deadly", "x" }), crashOf(3), start);
            cr_assert_not(quarantine.mayRetry(prompt({ "other", "deadly", "x" }), start));
        }
        cr_assert_eq(quarantine.findQuarantined(prompt({ "other", "deadly", "x" }), start)->id, "deadly");
        cr_assert_eq(quarantine.findQuarantined(prompt({ "rare", "deadly", "x" }), start)->id, "deadly");
        cr_assert_not(quarantine.findQuarantined(prompt({ "rare", "sound", "x" }), start));
    }
}

// Guards against clearing a part because an answer with it has begun, which the engine may not survive.
Test(PromptQuarantine, answerThatHasOnlyBegunProvesNothing)
{
    PromptQuarantine quarantine({}, {}, start);
    std::vector<PromptPart> parts = prompt({ "deadly", "x" });
    for (int i = 0; i < 3; ++i) {
        quarantine.recordAnswerBegun(start);
        quarantine.recordCrash(parts, crashOf(i), start);
    }
    quarantine.recordAnswerBegun(start);
    cr_assert(quarantine.hasUnprovenParts(parts, start));
    cr_assert(quarantine.findQuarantined(parts, start));
}

// Guards against refusing sound prompts because of a popular part that is in nearly all crashes of a deadly part, where each of the two
// has been seen in a crash that the other one was not seen in: another cause, or a crash that no daemon could attribute.
Test(PromptQuarantine, partThatADeadlyPartExplainsIsNotRefusedAlone)
{
    PromptQuarantine quarantine({}, {}, start);
    for (int i = 0; i < 12; ++i)
        quarantine.recordCrash(prompt({ "popular", "deadly", "x" }), crashOf(i), start);
    quarantine.recordCrash(prompt({ "popular", "sound", "x" }), crashOf(20), start);
    quarantine.recordCrash(prompt({ "other", "deadly", "x" }), crashOf(21), start);
    cr_assert_not(quarantine.findQuarantined(prompt({ "popular", "sound", "x" }), start));
    cr_assert(quarantine.mayRetry(prompt({ "popular", "sound", "x" }), start));
    cr_assert_eq(quarantine.findQuarantined(prompt({ "popular", "deadly", "x" }), start)->crashes.size(), 13);
    // Three crashes of its own are evidence whatever the deadly part explains.
    quarantine.recordCrash(prompt({ "popular", "sound", "x" }), crashOf(22), start);
    quarantine.recordCrash(prompt({ "popular", "sound", "x" }), crashOf(23), start);
    cr_assert_eq(quarantine.findQuarantined(prompt({ "popular", "sound", "x" }), start)->id, "popular");
}

// Guards against blaming the part that is specific to one request or session.
Test(PromptQuarantine, lastPartIsNoSuspect)
{
    PromptQuarantine quarantine({}, {}, start);
    for (int i = 0; i < 3; ++i)
        quarantine.recordCrash(prompt({ "last" }), crashOf(i), start);
    cr_assert_not(quarantine.hasUnprovenParts(prompt({ "last" }), start));
    cr_assert_not(quarantine.findQuarantined(prompt({ "last", "x" }), start));
    cr_assert_eq(quarantine.suspects(), 0);
}

// Guards against a quarantine after fewer than three processes, and against counting one process several times: many requests
// wait at an engine that ends.
Test(PromptQuarantine, threeDifferentProcessesAreNeeded)
{
    PromptQuarantine quarantine({}, {}, start);
    std::vector<PromptPart> parts = prompt({ "deadly", "x" });
    for (int i = 0; i < 5; ++i)
        quarantine.recordCrash(parts, crashOf(1), start);
    cr_assert(quarantine.mayRetry(parts, start));
    quarantine.recordCrash(parts, crashOf(2), start);
    cr_assert_not(quarantine.mayRetry(parts, start));
    cr_assert_not(quarantine.findQuarantined(parts, start));
    quarantine.recordCrash(parts, { "e1", 2'000 }, start);
    cr_assert_eq(quarantine.findQuarantined(parts, start)->crashes.size(), 3);
    cr_assert_eq(quarantine.quarantinedParts(start), 1);
}

// Guards against refusing the popular parts at a daemon that has just started and has no answers of its own: the records that it
// makes are refuted where the parts have been answered.
Test(PromptQuarantine, otherDaemonsRefuteADaemonThatWasJustStarted)
{
    PromptQuarantine running({}, {}, start);
    PromptQuarantine started({}, {}, start);
    running.recordSurvival(prompt({ "popular", "x" }), start);
    started.recordCrash(prompt({ "popular", "y" }), crashOf(1), start);
    std::optional<RecordChange> report = started.dueChange(start);
    cr_assert(report && !report->isRemoval);
    running.adopt({ report->record.part, 7 }, start);
    cr_assert_not(running.findQuarantined(prompt({ "popular", "z" }), start));
    std::optional<RecordChange> removal = running.dueChange(start + milliseconds(201));
    cr_assert(removal && removal->isRemoval);
    cr_assert_eq(removal->record.version, 7);
    started.adopt({ report->record.part, 7 }, start);
    started.remove(suspectKeyOf("popular"), "removed", start);
    started.recordCrash(prompt({ "popular", "y" }), crashOf(2), start + seconds(19));
    cr_assert_eq(started.suspects(), 0);
    started.recordCrash(prompt({ "popular", "y" }), crashOf(2), start + seconds(21));
    cr_assert_eq(started.suspects(), 1);
}

// Guards against a quarantine of sound parts after many engines have ended at once for another reason.
Test(PromptQuarantine, crashOfManyEnginesIsRefutedByAnswers)
{
    PromptQuarantine quarantine({}, {}, start);
    for (int engine = 0; engine < 6; ++engine) {
        for (int part = 0; part < 40; ++part)
            quarantine.recordCrash(prompt({ "p" + std::to_string(part), "x" }), crashOf(engine), start);
    }
    cr_assert_eq(quarantine.quarantinedParts(start), 40);
    // The answers of requests that were in progress elsewhere.
    for (int part = 0; part < 40; ++part)
        quarantine.recordSurvival(prompt({ "p" + std::to_string(part), "x" }), start + milliseconds(10));
    cr_assert_eq(quarantine.suspects(), 0);
    cr_assert_eq(quarantine.quarantinedParts(start + seconds(30)), 0);
}

// Guards against never suspecting a part that was sound for a long time.
Test(PromptQuarantine, partThatTurnsDeadlyIsQuarantinedOnceItsAnswersAreOld)
{
    PromptQuarantine quarantine({}, {}, start);
    std::vector<PromptPart> parts = prompt({ "deadly", "x" });
    quarantine.recordSurvival(parts, start);
    for (int i = 0; i < 3; ++i)
        quarantine.recordCrash(parts, crashOf(i), start + seconds(10));
    cr_assert_eq(quarantine.suspects(), 0);
    for (int i = 0; i < 3; ++i)
        quarantine.recordCrash(parts, crashOf(i), start + seconds(21));
    cr_assert(quarantine.findQuarantined(parts, start + seconds(21)));
}

// Guards against losing crashes when two daemons report the same part, and against counting a crash twice that both have seen.
Test(PromptQuarantine, ownCrashesAreMergedWithThoseOfTheRecord)
{
    PromptQuarantine quarantine({}, {}, start);
    std::vector<PromptPart> parts = prompt({ "deadly", "x" });
    quarantine.recordCrash(parts, crashOf(1), start);
    quarantine.adopt(recordOf("deadly", 5, { crashOf(1), crashOf(2) }), start);
    cr_assert_not(quarantine.dueChange(start));
    cr_assert_not(quarantine.findQuarantined(parts, start));
    quarantine.recordCrash(parts, crashOf(3), start);
    cr_assert(quarantine.findQuarantined(parts, start));
    std::optional<RecordChange> report = quarantine.dueChange(start);
    cr_assert(report->record == recordOf("deadly", 5, { crashOf(1), crashOf(2), crashOf(3) }));
    // An older state that arrives late.
    quarantine.adopt(recordOf("deadly", 4, {}), start);
    cr_assert_eq(quarantine.findQuarantined(parts, start)->crashes.size(), 3);
}

// Guards against a quarantine that survives the removal of its record, by which operators clear a part, also where the removal
// was missed and shows only in a listing.
Test(PromptQuarantine, removedRecordEndsTheQuarantine)
{
    for (bool isListed : { false, true }) {
        PromptQuarantine quarantine({}, {}, start);
        std::vector<PromptPart> parts = prompt({ "deadly", "x" });
        quarantine.replaceAll({ recordOf("deadly", 5, { crashOf(1), crashOf(2), crashOf(3) }), recordOf("other", 6, { crashOf(1) }) }, start);
        cr_assert(quarantine.findQuarantined(parts, start));
        if (isListed)
            quarantine.replaceAll({ recordOf("other", 6, { crashOf(1) }) }, start);
        else
            quarantine.remove(suspectKeyOf("deadly"), "removed", start);
        cr_assert_not(quarantine.findQuarantined(parts, start));
        cr_assert_eq(quarantine.suspects(), 1);
    }
}

// Guards against a quarantine without end, and against one that ends while engines still crash.
Test(PromptQuarantine, endsTenMinutesAfterTheLastCrash)
{
    PromptQuarantine quarantine({}, {}, start);
    std::vector<PromptPart> parts = prompt({ "deadly", "x" });
    quarantine.adopt(recordOf("deadly", 5, { crashOf(1), crashOf(2), crashOf(3) }), start);
    quarantine.adopt(recordOf("deadly", 6, { crashOf(1), crashOf(2), crashOf(3), crashOf(4) }), start + minutes(5));
    // Without a new crash.
    quarantine.adopt(recordOf("deadly", 7, { crashOf(2), crashOf(3), crashOf(4) }), start + minutes(6));
    cr_assert(quarantine.findQuarantined(parts, start + minutes(15) - seconds(1))->until == Core::Deadline(start + minutes(15)));
    cr_assert_not(quarantine.findQuarantined(parts, start + minutes(15)));
    cr_assert_eq(quarantine.quarantinedParts(start + minutes(15)), 0);
    cr_assert(quarantine.mayRetry(parts, start + minutes(15)));
    std::optional<RecordChange> removal = quarantine.dueChange(start + minutes(15) + seconds(11));
    cr_assert(removal && removal->isRemoval);
}

// Guards against unbounded memory and records, and against forgetting the likeliest cause when a table is full.
Test(PromptQuarantine, tablesAreBounded)
{
    QuarantineSettings settings;
    settings.maxSuspects = 10;
    PromptQuarantine quarantine(settings, {}, start);
    for (int i = 0; i < 40; ++i)
        quarantine.recordCrash(prompt({ "deadly", "x" }), crashOf(i), start);
    cr_assert_eq(quarantine.dueChange(start)->record.part.crashes.size(), SuspectPart::maxCrashes);
    for (int i = 0; i < 1'000; ++i)
        quarantine.recordCrash(prompt({ "p" + std::to_string(i), "x" }), crashOf(i), start);
    cr_assert_eq(quarantine.suspects(), 10);
    cr_assert(quarantine.findQuarantined(prompt({ "deadly", "x" }), start));
    cr_assert_eq(quarantine.dueChange(start)->record.part.id, "deadly");
    quarantine.recordCrash(prompt({ std::string(100'000, 'a'), "x" }), crashOf(1), start);
    cr_assert_eq(quarantine.suspects(), 10);

    ExpiringSet set(seconds(20), 100);
    for (uint64_t key = 0; key < 1'000; ++key)
        set.add(key, start);
    cr_assert_eq(set.size(), 100);
    cr_assert_not(set.contains(1, start));
    cr_assert(set.contains(999, start));
    set.add(5'000, start + seconds(20));
    cr_assert_eq(set.size(), 1);
}

// Guards against reporting crashes forever while the store refuses writes.
Test(PromptQuarantine, oldCrashesAreNotReported)
{
    PromptQuarantine quarantine({}, {}, start);
    quarantine.recordCrash(prompt({ "deadly", "x" }), crashOf(1), start);
    cr_assert(quarantine.dueChange(start + seconds(4)));
    cr_assert_not(quarantine.dueChange(start + seconds(6)));
}

// Guards against an outage that the quarantine prolongs: all engines ended after a time without answers, so that a part which all
// prompts share has no proof, and refusing it keeps away any proof.
Test(PromptQuarantine, endsWhereNothingIsAnswered)
{
    PromptQuarantine quarantine({}, {}, start);
    std::vector<PromptPart> parts = prompt({ "popular", "x" });
    quarantine.adopt(recordOf("popular", 5, { crashOf(1), crashOf(2), crashOf(3) }), start);
    TimePoint later = start + seconds(21);
    // A daemon with few requests refuses a deadly part also where it has begun no answer for long.
    for (int i = 0; i < 10; ++i) {
        cr_assert(quarantine.findQuarantined(parts, start));
        cr_assert(quarantine.findQuarantined(parts, later));
        quarantine.recordRefusal();
    }
    cr_assert(quarantine.findQuarantined(parts, start));
    cr_assert_not(quarantine.findQuarantined(parts, later));
    quarantine.recordAnswerBegun(later);
    cr_assert(quarantine.findQuarantined(parts, later));
    quarantine.recordSurvival(parts, later);
    cr_assert_not(quarantine.findQuarantined(parts, later));
}

// Guards against forgetting a quarantine, or a part of its evidence, because a restored store lacks the record or lists an older one: the
// engines would crash again. What is known is written again.
Test(PromptQuarantine, restoredStoreDoesNotEndAQuarantine)
{
    for (bool hasOlderRecord : { false, true }) {
        PromptQuarantine quarantine({}, {}, start);
        quarantine.adopt(recordOf("deadly", 7, { crashOf(0), crashOf(1), crashOf(2) }), start);
        cr_assert(quarantine.findQuarantined(prompt({ "deadly", "x" }), start));
        quarantine.storeRestored(start);
        std::vector<SuspectRecord> listed;
        if (hasOlderRecord)
            listed.push_back(recordOf("deadly", Platform::makeVersion(1, 5), { crashOf(0) }));
        quarantine.replaceAll(listed, start);
        cr_assert(quarantine.findQuarantined(prompt({ "deadly", "x" }), start));
        std::optional<RecordChange> change = quarantine.reportOf(suspectKeyOf("deadly"), start);
        cr_assert(change && change->record.part.crashes.size() == 3);
        cr_assert_eq(change->record.version, hasOlderRecord ? Platform::makeVersion(1, 5) : 0);
    }
}
