#include "PlatformFixture.h"

using Core::FailureKind;
using Platform::Changes;
using Result = std::shared_ptr<std::optional<std::optional<Changes>>>;

// A write whose reply is lost must take effect, and its writer must get OutcomeUnknown.
Test(PlatformFaults, lostRepliesComeAfterTheWrite)
{
    PlatformFixture fixture;
    fixture.setFaults(R"({"lose_replies": 2})");
    cr_assert_not(fixture.put("a/1", "one"));
    cr_assert_eq(fixture.reason.kind, FailureKind::OutcomeUnknown);
    // A rejected write has no effect, and its reply does not count as a lost one.
    cr_assert_not(fixture.put("a/1", "two"));
    cr_assert_eq(fixture.reason.kind, FailureKind::Conflict);
    std::optional<Platform::Object> object = fixture.get("a/1");
    cr_assert_eq(object->value, "one");
    cr_assert_not(fixture.remove("a/1", object->version));
    cr_assert_eq(fixture.reason.kind, FailureKind::OutcomeUnknown);
    cr_assert_not(fixture.get("a/1"));
    cr_assert(fixture.put("a/1", "three"));
    cr_assert_eq(fixture.emulator.counters().lostReplies, 2u);
}

static std::string lossPattern(const std::string& seed)
{
    PlatformFixture fixture;
    fixture.setFaults(R"({"lose_reply_probability": 0.5, "seed": )" + seed + "}");
    std::string pattern;
    for (int i = 0; i < 40; ++i)
        pattern += fixture.put("a/" + std::to_string(i), "value") ? 'k' : 'l';
    cr_assert_eq(fixture.list("a/")->objects.size(), 40u);
    return pattern;
}

// Random reply losses must be reproducible from the seed.
Test(PlatformFaults, randomLossesFollowTheSeed)
{
    std::string pattern = lossPattern("7");
    cr_assert_eq(pattern, lossPattern("7"));
    cr_assert_neq(pattern, lossPattern("8"));
    cr_assert_neq(pattern.find('l'), std::string::npos);
    cr_assert_neq(pattern.find('k'), std::string::npos);
}

// Guards against an outage that admits calls, leaves watches waiting or changes stored objects.
Test(PlatformFaults, outageAnswers503AndEndsWatches)
{
    PlatformFixture fixture;
    cr_assert(fixture.put("a/1", "one"));
    Core::Reason reason;
    Result watch = Testing::start(fixture.context, fixture.store.watch("a/", 1, Testing::soon(), reason));
    Testing::runUntil(fixture.context, [&] { return fixture.emulator.counters().waitingWatches == 1; });
    fixture.setFaults(R"({"outage_ms": 3600000})");
    // The start of the outage ends the watch before its own time limit: it has ended when the next call returns.
    cr_assert_not(fixture.list("a/"));
    cr_assert_eq(fixture.emulator.counters().waitingWatches, 0u);
    Testing::runUntil(fixture.context, [&] { return watch->has_value(); });
    cr_assert_not((**watch).has_value());
    cr_assert_eq(reason.kind, FailureKind::Unavailable);
    cr_assert_not(fixture.put("a/1", "two", 1));
    cr_assert_eq(fixture.reason.kind, FailureKind::Unavailable);
    cr_assert_not(fixture.remove("a/1", 1));
    cr_assert_eq(fixture.reason.kind, FailureKind::Unavailable);
    cr_assert_not(fixture.get("a/1"));
    cr_assert_eq(fixture.reason.kind, FailureKind::Unavailable);
    cr_assert_not(fixture.list("a/"));
    cr_assert_eq(fixture.reason.kind, FailureKind::Unavailable);
    cr_assert_eq(fixture.emulator.counters().duringOutage, 6u);
    fixture.setFaults(R"({"outage_ms": 0})");
    cr_assert_eq(fixture.get("a/1")->value, "one");
}

// An outage must end after outage_ms.
Test(PlatformFaults, outageEnds)
{
    PlatformFixture fixture;
    fixture.setFaults(R"({"outage_ms": 100})");
    Testing::runUntil(fixture.context, [&] { return fixture.put("a/1", "one").has_value(); });
}

// Blocking a host must not affect other hosts. Its writes must have no effect, and its waiting watches must end.
Test(PlatformFaults, blockedClientIsCutOff)
{
    PlatformFixture fixture;
    Platform::ObjectStore other = fixture.storeOf("host-b");
    Core::Reason reason;
    Core::Reason otherReason;
    Result watch = Testing::start(fixture.context, fixture.store.watch("", 0, Testing::soon(), reason));
    Result otherWatch = Testing::start(fixture.context, other.watch("", 0, Testing::soon(), otherReason));
    Testing::runUntil(fixture.context, [&] { return fixture.emulator.counters().waitingWatches == 2; });
    fixture.setFaults(R"({"blocked_clients": ["host-a", "host-z"]})");
    cr_assert_not(fixture.get("a/1"));
    cr_assert_eq(fixture.emulator.counters().waitingWatches, 1u);
    Testing::runUntil(fixture.context, [&] { return watch->has_value(); });
    cr_assert_not((**watch).has_value());
    cr_assert_eq(reason.kind, FailureKind::Unavailable);
    cr_assert_not(otherWatch->has_value());
    cr_assert_not(fixture.put("a/1", "one"));
    // The client cannot know whether its request was received.
    cr_assert_eq(fixture.reason.kind, FailureKind::OutcomeUnknown);
    cr_assert_not(fixture.get("a/1"));
    cr_assert_eq(fixture.reason.kind, FailureKind::Unavailable);
    cr_assert_eq(Testing::run(fixture.context, other.put("a/1", "two", 0, Testing::soon(), otherReason)).value_or(0), 1u);
    Testing::runUntil(fixture.context, [&] { return otherWatch->has_value(); });
    cr_assert((**otherWatch).has_value(), "%s", otherReason.text().c_str());
    fixture.setFaults(R"({"blocked_clients": []})");
    cr_assert_eq(fixture.get("a/1")->value, "two");
}

// A delayed write must take effect even if its client has timed out.
Test(PlatformFaults, delayedWriteTakesEffectAfterTheDeadline)
{
    PlatformFixture fixture;
    fixture.setFaults(R"({"delay_ms": 2000})");
    Core::Deadline deadline = Core::Deadline::after(std::chrono::milliseconds(300));
    cr_assert_not(Testing::run(fixture.context, fixture.store.put("a/1", "one", 0, deadline, fixture.reason)));
    cr_assert_eq(fixture.reason.kind, FailureKind::OutcomeUnknown);
    fixture.setFaults(R"({"delay_ms": 0})");
    Testing::runUntil(fixture.context, [&] { return fixture.get("a/1").has_value(); });
}

// Misspelt fault switches must be rejected; a test would otherwise run without its fault.
Test(PlatformFaults, malformedFaultsChangeNothing)
{
    PlatformFixture fixture;
    for (const char* body : { "", "[]", "{", R"({"outage": 5})", R"({"outage_ms": -1})", R"({"outage_ms": "5"})", R"({"delay_ms": 1.5})",
             R"({"delay_ms": 86400001})", R"({"lose_replies": null})", R"({"lose_reply_probability": 1.1})",
             R"({"blocked_clients": "host-a"})", R"({"blocked_clients": [1]})", R"({"lose_replies": 5, "unknown": 1})" })
        cr_assert_eq(fixture.send({ "POST", "/control/faults", {}, body }).status, 400u, "%s", body);
    cr_assert(fixture.put("a/1", "one"));
}
