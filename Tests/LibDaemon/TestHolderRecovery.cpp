#include "HolderRecovery.h"

#include "RunTask.h"
#include <criterion/criterion.h>

using Membership::Member;
using Membership::MemberState;

namespace {

// A HolderRecovery with a fake ledger, endpoints and members. Only this daemon is alive, so no peer is called.
struct Fixture {
    boost::asio::io_context context;
    Peer::Network network { context.get_executor(), {} };
    std::set<Ledger::Holder> dead;
    size_t records { 0 };
    std::vector<Ledger::CloseHolder> closed;
    std::vector<Ledger::Usage> bills;
    Ledger::LedgerAudit audit;
    Ledger::BudgetId budget { "orders", "default" };
    HolderRecovery recovery;

    explicit Fixture(std::chrono::seconds age = std::chrono::seconds(600))
        : recovery("entry-1", 1, network, makeHooks(age))
    {
        for (const char* host : { "entry-2", "entry-3" }) {
            audit.budgets[budget].outstanding[{ host, 1 }] = 100;
            recovery.memberChanged(member(host, MemberState::Alive));
        }
    }

    static Member member(const char* host, MemberState state)
    {
        Member result;
        result.host = host;
        result.incarnation = 1;
        result.state = state;
        return result;
    }

    HolderRecovery::Hooks makeHooks(std::chrono::seconds age)
    {
        HolderRecovery::Hooks hooks;
        hooks.startedAt = Core::SteadyClock::now() - age;
        hooks.liveMembers = [] { return std::vector<Member> { member("entry-1", MemberState::Alive) }; };
        hooks.ownerState = [this](const Ledger::Holder& holder) { return dead.contains(holder) ? Witness::OwnerState::ConfirmedDead : Witness::OwnerState::Unreachable; };
        hooks.localRecordCount = [this](const Ledger::Holder&) { return records; };
        hooks.audit = [this](uint32_t, Core::Deadline, Core::Reason&) -> Core::Task<std::optional<Ledger::LedgerAudit>> { co_return audit; };
        hooks.submit = [this](uint32_t, std::vector<Ledger::Entry> entries, Core::Deadline, Core::Reason&) -> Core::Task<std::optional<std::vector<Ledger::EntryResult>>> {
            for (const Ledger::Entry& entry : entries) {
                if (const Ledger::CloseHolder* close = std::get_if<Ledger::CloseHolder>(&entry))
                    closed.push_back(*close);
                if (const Ledger::Usage* usage = std::get_if<Ledger::Usage>(&entry))
                    bills.push_back(*usage);
            }
            co_return std::vector<Ledger::EntryResult>(entries.size());
        };
        hooks.cancelStream = [](std::string, std::string, Core::Deadline, Core::Reason&) -> Core::Task<std::optional<Ledger::Tokens>> { co_return 7; };
        return hooks;
    }

    void supersede(const char* host)
    {
        dead.insert({ host, 1 });
        recovery.incarnationSuperseded(host, 1);
    }

    void runOnce()
    {
        TestSupport::runTask(context, [](HolderRecovery& recovery) -> Core::Task<bool> {
            co_await recovery.runOnce();
            co_return true;
        }(recovery));
    }
};

}

// Tokens must not remain stranded after their holder was superseded.
Test(HolderRecovery, supersededHolderIsReleased)
{
    Fixture fixture;
    fixture.supersede("entry-2");
    fixture.runOnce();
    cr_assert_eq(fixture.closed.size(), 1u);
    cr_assert_eq(fixture.closed[0].holder, (Ledger::Holder { "entry-2", 1 }));
    cr_assert_eq(fixture.recovery.pending(), 0u);
}

// A suspect must not be released: it may only be paused, and spend its grant when it resumes.
Test(HolderRecovery, suspectIsNotReleased)
{
    Fixture fixture;
    fixture.recovery.memberChanged(Fixture::member("entry-2", MemberState::Suspect));
    fixture.runOnce();
    cr_assert(fixture.closed.empty());
}

// A holder must not be released while it has unbilled records.
Test(HolderRecovery, unbilledRecordsDelayTheRelease)
{
    Fixture fixture;
    fixture.records = 1;
    fixture.supersede("entry-2");
    fixture.runOnce();
    cr_assert(fixture.closed.empty());
    fixture.records = 0;
    fixture.runOnce();
    cr_assert_eq(fixture.closed.size(), 1u);
}

// A holder must not be released if a daemon that may have stored its records was lost at the same time.
Test(HolderRecovery, simultaneousLossesStayStranded)
{
    Fixture fixture;
    fixture.supersede("entry-2");
    fixture.supersede("entry-3");
    fixture.runOnce();
    cr_assert(fixture.closed.empty());
}

// A restarted daemon does not know that its predecessor was lost. It once released the grants of another daemon that was
// killed together with that predecessor.
Test(HolderRecovery, restartedDaemonReleasesNothing)
{
    Fixture fixture(std::chrono::seconds(5));
    fixture.supersede("entry-2");
    fixture.runOnce();
    cr_assert(fixture.closed.empty());
}

// Tokens must not remain stranded after an operator has withdrawn the host.
Test(HolderRecovery, withdrawnHostIsReleased)
{
    Fixture fixture;
    fixture.dead.insert({ "entry-2", 1 });
    fixture.runOnce();
    cr_assert_eq(fixture.closed.size(), 1u);
}

// Attempts recorded only in the ledger must be billed before the grants of their holder are released.
Test(HolderRecovery, openAttemptsInTheLedgerAreBilledFirst)
{
    Fixture fixture;
    fixture.audit.openAttempts.push_back({ "a1", "r1", fixture.budget, { "entry-2", 1 }, 50, "engine-1" });
    fixture.supersede("entry-2");
    fixture.runOnce();
    cr_assert_eq(fixture.bills.size(), 1u);
    cr_assert_eq(fixture.bills[0].tokens, 7);
    cr_assert_eq(fixture.closed.size(), 1u);
}
