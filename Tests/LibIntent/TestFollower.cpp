#include "Examples.h"
#include "LibCore/EventLog.h"
#include "LibCore/Random.h"
#include "LibIntent/Follower.h"
#include "MemoryStore.h"
#include "RunTask.h"
#include <algorithm>

using namespace Intent;

namespace {

AcceptedNote acceptedNote(uint64_t generation)
{
    if (generation == 1)
        return { 1, "id-1", "ada", 1, initialNote };
    return { generation, "id-" + std::to_string(generation), "bea", 1, noteText(generation - 1, "bea", "added: {workspaces: [{name: w" + std::to_string(generation) + "}]}") };
}

FleetState stateAt(uint64_t generation)
{
    FleetState state;
    for (uint64_t next = 1; next <= generation; ++next)
        applyNoteUnchecked(state, parsed(acceptedNote(next).text));
    return state;
}

struct Fixture {
    boost::asio::io_context context;
    MemoryStore store { context.get_executor() };
    std::optional<FleetState> peerState;
    std::vector<AcceptedNote> peerNotes;
    int peerRequests { 0 };
    bool holdsWatch { false };
    std::vector<uint64_t> pushed;
    std::vector<uint64_t> announced;
    std::vector<uint64_t> confirmed;
    std::shared_ptr<Follower> follower;

    Fixture()
    {
        Core::initialiseLog("test", Core::Severity::Error);
        FollowerHooks hooks;
        hooks.fetchNotes = [this](uint64_t after, Core::Deadline, Core::Reason& reason) { return fetchNotes(after, reason); };
        hooks.fetchState = [this](Core::Deadline, Core::Reason& reason) { return fetchState(reason); };
        hooks.push = [this](const AcceptedNote& note) { pushed.push_back(note.generation); };
        hooks.stateChanged = [this](const std::shared_ptr<const FleetState>& state) { announced.push_back(state->generation); };
        hooks.holdsWatch = [this] { return holdsWatch; };
        hooks.platformConfirmed = [this](uint64_t generation, Core::SteadyClock::time_point) { confirmed.push_back(generation); };
        FollowerLimits limits;
        limits.watchTimeout = std::chrono::milliseconds(20);
        limits.retryDelay = std::chrono::milliseconds(2);
        follower = Follower::create(context.get_executor(), NoteLog(store.hooks()), hooks, limits);
    }

    Core::Task<std::optional<std::vector<AcceptedNote>>> fetchNotes(uint64_t after, Core::Reason& reason)
    {
        ++peerRequests;
        if (peerNotes.empty() || peerNotes.front().generation > after + 1) {
            reason = { peerNotes.empty() ? Core::FailureKind::Unavailable : Core::FailureKind::NotFound, "fetch notes", "peer", "not kept" };
            co_return std::nullopt;
        }
        std::vector<AcceptedNote> notes;
        for (const AcceptedNote& note : peerNotes) {
            if (note.generation > after)
                notes.push_back(note);
        }
        co_return notes;
    }

    Core::Task<std::optional<FleetState>> fetchState(Core::Reason& reason)
    {
        reason = { Core::FailureKind::Unavailable, "fetch state", "peer", "no peer" };
        co_return peerState;
    }

    void writeNotes(uint64_t first, uint64_t last)
    {
        for (uint64_t generation = first; generation <= last; ++generation)
            store.set(objectNameOf(generation), encodeNoteObject(acceptedNote(generation)));
    }

    bool start(int limitMs = 5000)
    {
        Core::Reason reason;
        return runTask(context, follower->start(Core::Deadline::after(std::chrono::milliseconds(limitMs)), reason));
    }

    bool waitFor(uint64_t generation, int limitMs = 5000)
    {
        return runTask(context, follower->waitFor(generation, Core::Deadline::after(std::chrono::milliseconds(limitMs))));
    }
};

}

// A starting daemon must fetch the state from a peer and only newer notes from the platform. It must not stay at the
// older generation of the peer.
Test(Follower, startsFromOlderPeerAndPlatform)
{
    Fixture fixture;
    fixture.writeNotes(1, 5);
    fixture.peerState = stateAt(3);
    cr_assert(fixture.start());
    cr_assert(*fixture.follower->state() == stateAt(5));
    cr_assert_eq(fixture.store.counters.lists, 1);
    cr_assert_eq(fixture.confirmed.back(), 5u);
}

// A daemon must be able to start without peers, but must not start with an empty state during an outage.
Test(Follower, startsFromPlatformOnly)
{
    Fixture fixture;
    fixture.writeNotes(1, 5);
    fixture.store.faults.isDown = true;
    cr_assert_not(fixture.start(30));
    cr_assert_null(fixture.follower->state().get());
    fixture.store.faults.isDown = false;
    cr_assert(fixture.start());
    cr_assert(*fixture.follower->state() == stateAt(5));
}

// During a platform outage a daemon must be able to start from a peer, without reporting a confirmation.
Test(Follower, startsFromPeerDuringOutage)
{
    Fixture fixture;
    fixture.peerState = stateAt(4);
    fixture.store.faults.isDown = true;
    cr_assert(fixture.start());
    cr_assert_eq(fixture.follower->generation(), 4u);
    cr_assert(fixture.confirmed.empty());
}

// Duplicate and reordered notes must be applied exactly once and in order.
Test(Follower, appliesReorderedNotesInOrder)
{
    Core::seedRandom(61);
    for (int round = 0; round < 50; ++round) {
        Fixture fixture;
        cr_assert(fixture.start());
        std::vector<AcceptedNote> notes;
        for (uint64_t generation = 1; generation <= 12; ++generation)
            notes.push_back(acceptedNote(generation));
        std::vector<AcceptedNote> repeated = notes;
        notes.insert(notes.end(), repeated.begin(), repeated.end());
        std::shuffle(notes.begin(), notes.end(), Core::randomGenerator());
        for (const AcceptedNote& note : notes)
            fixture.follower->receive({ note });
        cr_assert(*fixture.follower->state() == stateAt(12), "round %d", round);
        cr_assert_eq(fixture.pushed.size(), 12u);
        cr_assert(std::is_sorted(fixture.announced.begin(), fixture.announced.end()));
    }
}

// A state must not change while a caller retains it, as a request does until it is dispatched.
Test(Follower, retainedStateDoesNotChange)
{
    Fixture fixture;
    cr_assert(fixture.start());
    fixture.follower->receive({ acceptedNote(1) });
    std::shared_ptr<const FleetState> retained = fixture.follower->state();
    fixture.follower->receive({ acceptedNote(2) });
    cr_assert(*retained == stateAt(1));
    cr_assert(*fixture.follower->state() == stateAt(2));
    retained.reset();
    fixture.follower->receive({ acceptedNote(3) });
    cr_assert(*fixture.follower->state() == stateAt(3));
}

// Neither an older state nor an older note may replace the current generation.
Test(Follower, neverRevertsToOlderGeneration)
{
    Fixture fixture;
    fixture.writeNotes(1, 6);
    cr_assert(fixture.start());
    AcceptedNote other = acceptedNote(6);
    other.text = noteText(5, "cy", "withdrawn: {workspaces: [w2]}");
    fixture.follower->receive({ other, acceptedNote(2) });
    fixture.peerState = stateAt(3);
    cr_assert(fixture.start());
    cr_assert(*fixture.follower->state() == stateAt(6));
}

// A gap to an observed generation must be closed with notes or a complete state from peers, or from the platform if
// peers have neither.
Test(Follower, fetchesMissingNotes)
{
    Fixture fixture;
    cr_assert(fixture.start());
    for (uint64_t generation = 1; generation <= 4; ++generation)
        fixture.peerNotes.push_back(acceptedNote(generation));
    fixture.follower->generationObserved(4);
    cr_assert(fixture.waitFor(4));

    fixture.peerNotes = { acceptedNote(8) };
    fixture.peerState = stateAt(8);
    fixture.follower->generationObserved(8);
    cr_assert(fixture.waitFor(8));
    cr_assert_not(fixture.follower->notesAfter(4));

    fixture.peerNotes.clear();
    fixture.writeNotes(1, 10);
    fixture.follower->generationObserved(10);
    cr_assert(fixture.waitFor(10));
    cr_assert(*fixture.follower->state() == stateAt(10));
    cr_assert_eq(fixture.follower->notesAfter(8)->size(), 2u);
}

// A generation that no peer and not even the platform has must not cause an endless series of requests.
Test(Follower, ignoresUnavailableGeneration)
{
    Fixture fixture;
    cr_assert(fixture.start());
    fixture.follower->generationObserved(99);
    cr_assert_not(fixture.waitFor(99, 200));
    cr_assert_leq(fixture.peerRequests, 3);
}

// The watch must deliver all notes, even after its revision has become too old or the platform was down, must report
// confirmations, and must run only while holdsWatch returns true.
Test(Follower, watchesOnlyWhileHoldingTheWatch)
{
    Fixture fixture;
    cr_assert(fixture.start());
    Core::spawn(fixture.context.get_executor(), "run", fixture.follower->run());
    fixture.writeNotes(1, 1);
    cr_assert_not(fixture.waitFor(1, 60));
    cr_assert_eq(fixture.store.counters.watches, 0);
    fixture.holdsWatch = true;
    cr_assert(fixture.waitFor(1));
    fixture.writeNotes(2, 2);
    cr_assert(fixture.waitFor(2));
    fixture.store.faults.oldestRevision = 1000;
    fixture.writeNotes(3, 3);
    cr_assert(fixture.waitFor(3));
    fixture.store.faults.oldestRevision = 0;
    fixture.store.faults.isDown = true;
    cr_assert_not(fixture.waitFor(4, 60));
    fixture.store.faults.isDown = false;
    fixture.writeNotes(4, 4);
    cr_assert(fixture.waitFor(4));
    cr_assert_geq(fixture.confirmed.back(), 3u);
    fixture.follower->stop();
}

// A note that cannot be parsed must be neither skipped nor requested repeatedly.
Test(Follower, doesNotApplyInvalidNote)
{
    Fixture fixture;
    fixture.writeNotes(1, 2);
    cr_assert(fixture.start());
    AcceptedNote unknown = acceptedNote(3);
    unknown.text = "note: {from_generation: 2, author: a, reason: b}\nfuture: {}\n";
    fixture.follower->receive({ unknown, acceptedNote(4) });
    cr_assert_not(fixture.waitFor(3, 100));
    cr_assert_eq(fixture.follower->generation(), 2u);
    fixture.follower->generationObserved(4);
    cr_assert_not(fixture.waitFor(3, 100));
    cr_assert_eq(fixture.peerRequests, 0);
}
