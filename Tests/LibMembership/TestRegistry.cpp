#include "LibMembership/Registry.h"
#include "MemoryStore.h"
#include "RunTask.h"
#include "SimulatedFleet.h"

using namespace Membership;

namespace {

struct Fixture {
    boost::asio::io_context context;
    MemoryStore store { context.get_executor() };
    uint64_t wallClock { 1'000'000 };
    Registry registry { store.hooks(), [this] { return wallClock; } };
    Core::Reason reason;

    std::optional<Member> registerDaemon(const Member& member)
    {
        return runTask(context, registry.registerDaemon(member, Core::Deadline::after(std::chrono::seconds(5)), reason));
    }
    bool update(const Member& member)
    {
        return runTask(context, registry.update(member, Core::Deadline::after(std::chrono::seconds(5)), reason));
    }
};

}

// Guards against an incarnation that does not increase because the wall clock was set back.
Test(Registry, incarnationAlwaysRises)
{
    Fixture fixture;
    cr_assert_eq(fixture.registerDaemon(makeMember(1, 3))->incarnation, 1'000'000u);
    fixture.wallClock = 500;
    cr_assert_eq(fixture.registerDaemon(makeMember(1, 3))->incarnation, 1'000'001u);
    fixture.wallClock = 2'000'000;
    cr_assert_eq(fixture.registerDaemon(makeMember(1, 3))->incarnation, 2'000'000u);
}

// Guards against a lost reply making registration fail or leaving another incarnation registered than the one in use.
Test(Registry, lostReplyRegistersAgainAbove)
{
    Fixture fixture;
    fixture.store.faults.lostReplies = 1;
    std::optional<Member> member = fixture.registerDaemon(makeMember(1, 3));
    cr_assert(member);
    std::optional<std::vector<Member>> listed = runTask(fixture.context, fixture.registry.list(Core::Deadline::after(std::chrono::seconds(5)), fixture.reason));
    cr_assert(listed);
    cr_assert_eq(listed->size(), 1u);
    cr_assert(listed->front() == *member);
}

// Guards against an old process that was paused overwriting the registration of its successor.
Test(Registry, olderIncarnationCannotUpdate)
{
    Fixture fixture;
    Member older = fixture.registerDaemon(makeMember(1, 3)).value();
    Member newer = fixture.registerDaemon(makeMember(1, 3)).value();
    older.state = MemberState::Draining;
    cr_assert_not(fixture.update(older));
    cr_assert(fixture.reason.kind == Core::FailureKind::Conflict);
    newer.state = MemberState::Draining;
    fixture.store.faults.lostReplies = 1;
    cr_assert(fixture.update(newer));
    cr_assert(decodeMember(fixture.store.objects().at("daemon/host-1").value, fixture.reason) == newer);
}
