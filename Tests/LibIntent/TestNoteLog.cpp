#include "Examples.h"
#include "LibIntent/NoteLog.h"
#include "MemoryStore.h"
#include "RunTask.h"

using namespace Intent;

namespace {

struct Fixture {
    boost::asio::io_context context;
    MemoryStore store { context.get_executor() };
    NoteLog log { store.hooks() };
    std::shared_ptr<const FleetState> empty { std::make_shared<const FleetState>() };

    AcceptResult accept(const std::string& identity, const std::string& text, std::shared_ptr<const FleetState> current, int limitMs = 5000)
    {
        return runTask(context, log.accept(std::move(current), { identity, text }, Core::Deadline::after(std::chrono::milliseconds(limitMs))));
    }

    std::optional<NoteBatch> readAfter(uint64_t after)
    {
        Core::Reason reason;
        return runTask(context, log.readAfter(after, Core::Deadline::after(std::chrono::seconds(5)), reason));
    }
};

}

// If two operators submit notes for the same generation, only one note is accepted, and the other operator receives
// the difference.
Test(NoteLog, conflictReturnsDifference)
{
    Fixture fixture;
    cr_assert(fixture.accept("first", initialNote, fixture.empty).status == AcceptStatus::Accepted);
    std::shared_ptr<const FleetState> state = std::make_shared<const FleetState>(initialState());
    std::string winner = noteText(1, "bea", "added: {workspaces: [{name: returns}]}\nwithdrawn: {workspaces: [trials]}\n");
    // Another operator's note is written between the validation and the write of this one.
    fixture.store.beforePut = [&] {
        fixture.store.beforePut = nullptr;
        fixture.store.set(objectNameOf(2), encodeNoteObject({ 2, "winner", "bea", 1, winner }));
    };
    AcceptResult result = fixture.accept("loser", noteText(1, "cy", "added: {workspaces: [{name: quotes}]}\n"), state);
    cr_assert(result.status == AcceptStatus::Conflict);
    cr_assert_eq(result.generation, 2u);
    cr_assert(result.difference);
    cr_assert_eq(result.difference->added.workspaces.at(0).name, "returns");
    cr_assert_eq(result.difference->withdrawn.workspaces.at(0), "trials");
    cr_assert_eq(fixture.store.objects().size(), 2u);
}

// A lost reply to a write must not cause the note to be accepted twice or reported as a conflict.
Test(NoteLog, resolvesLostReplyByReading)
{
    Fixture fixture;
    fixture.store.faults.lostReplies = 1;
    AcceptResult result = fixture.accept("one", initialNote, fixture.empty);
    cr_assert(result.status == AcceptStatus::Accepted);
    cr_assert_eq(result.generation, 1u);
    cr_assert_eq(fixture.store.objects().size(), 1u);
}

// A write that takes effect only after a read found the object missing must be recognized as the submitter's own.
Test(NoteLog, recognizesDelayedWrite)
{
    Fixture fixture;
    fixture.store.faults.delayedWrites = 1;
    AcceptResult result = fixture.accept("one", initialNote, fixture.empty);
    cr_assert(result.status == AcceptStatus::Accepted);
    cr_assert_eq(fixture.store.objects().size(), 1u);
}

// A repeated submission must not create a second note or be reported as a conflict, even after further notes.
Test(NoteLog, repeatedSubmissionIsAlreadyAccepted)
{
    Fixture fixture;
    cr_assert(fixture.accept("one", initialNote, fixture.empty).status == AcceptStatus::Accepted);
    std::shared_ptr<const FleetState> state = std::make_shared<const FleetState>(initialState());
    cr_assert(fixture.accept("two", noteText(1, "bea", "withdrawn: {workspaces: [trials]}\n"), state).status == AcceptStatus::Accepted);
    AcceptResult again = fixture.accept("one", initialNote, fixture.empty);
    cr_assert(again.status == AcceptStatus::AlreadyAccepted);
    cr_assert_eq(again.generation, 1u);
    cr_assert_eq(fixture.store.objects().size(), 2u);
}

// An outage must not be reported as acceptance, nor as a definite failure if the write may have been executed.
Test(NoteLog, outageReportsWhetherNoteMayBeAccepted)
{
    Fixture fixture;
    fixture.store.faults.isDown = true;
    AcceptResult down = fixture.accept("one", initialNote, fixture.empty, 50);
    cr_assert(down.status == AcceptStatus::Failed);
    cr_assert(down.reason.kind == Core::FailureKind::Unavailable);
    fixture.store.faults.isDown = false;
    fixture.store.faults.lostReplies = 1;
    fixture.store.beforePut = [&] { fixture.store.faults.isDown = true; };
    AcceptResult unknown = fixture.accept("one", initialNote, fixture.empty, 50);
    cr_assert(unknown.status == AcceptStatus::Failed);
    cr_assert(unknown.reason.kind == Core::FailureKind::OutcomeUnknown);
    fixture.store.faults.isDown = false;
    cr_assert(fixture.accept("one", initialNote, fixture.empty).status == AcceptStatus::AlreadyAccepted);
}

// A note based on a generation that does not exist yet would leave a gap in the log and must be rejected. Validation
// errors must have the line in the text.
Test(NoteLog, invalidNotesAreNotWritten)
{
    Fixture fixture;
    AcceptResult ahead = fixture.accept("one", noteText(7, "bea", "added: {workspaces: [{name: a}]}\n"), fixture.empty);
    cr_assert(ahead.status == AcceptStatus::Invalid);
    AcceptResult reference = fixture.accept("two", noteText(0, "bea", "added:\n  budgets:\n    - {workspace: none, name: b}\n"), fixture.empty);
    cr_assert(reference.status == AcceptStatus::Invalid);
    cr_assert_eq(reference.errors.at(0).line, 4);
    cr_assert(fixture.store.objects().empty());
}

// A daemon that lags behind the platform must validate notes against the newest state, not against its own.
Test(NoteLog, readsMissingNotesBeforeValidation)
{
    Fixture fixture;
    cr_assert(fixture.accept("one", initialNote, fixture.empty).status == AcceptStatus::Accepted);
    cr_assert(fixture.accept("two", noteText(1, "bea", "added: {budgets: [{workspace: trials, name: b}]}\n"), fixture.empty).status == AcceptStatus::Accepted);
    cr_assert(fixture.accept("three", noteText(2, "bea", "withdrawn: {workspaces: [trials]}\n"), fixture.empty).status == AcceptStatus::Invalid);
}

// No note may be skipped at the boundary between two listings, and readAfter must not read the whole history.
Test(NoteLog, readAfterCrossesBlocks)
{
    Fixture fixture;
    for (uint64_t generation = 1; generation <= 299; ++generation)
        fixture.store.set(objectNameOf(generation), encodeNoteObject({ generation, "id", "ada", 0, "text" }));
    std::optional<NoteBatch> all = fixture.readAfter(0);
    cr_assert(all);
    cr_assert_eq(all->notes.size(), 299u);
    cr_assert_eq(all->notes.back().generation, 299u);
    fixture.store.counters = {};
    std::optional<NoteBatch> none = fixture.readAfter(299);
    cr_assert(none && none->notes.empty());
    cr_assert_eq(none->revision, 299u);
    cr_assert_eq(fixture.store.counters.lists, 1);
    cr_assert_eq(fixture.readAfter(250)->notes.front().generation, 251u);
}
