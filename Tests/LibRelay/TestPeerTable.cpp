#include "LibRelay/PeerTable.h"
#include <criterion/criterion.h>
#include <map>
#include <set>

using namespace Relay;

static PeerInfo peer(int number, const std::string& failureDomain)
{
    return { { "10.0.0." + std::to_string(number), 7340 }, failureDomain };
}

// Guards against daemons with the same peer list disagreeing on the assignee of a job.
Test(PeerTable, daemonsAgreeOnTheAssignee)
{
    std::vector<PeerInfo> all { peer(1, "a"), peer(2, "a"), peer(3, "b"), peer(4, "b") };
    std::set<std::string> assignees;
    for (const PeerInfo& self : all) {
        PeerTable table(self);
        std::vector<PeerInfo> others = all;
        std::erase(others, self);
        table.setPeers(others);
        cr_assert_eq(table.size(), 4);
        assignees.insert(table.assigneeOf(7).value_or(self.address).text());
    }
    cr_assert_eq(assignees.size(), 1);
}

// Guards against watching through another failure domain while the own one has daemons.
Test(PeerTable, watcherIsInTheSameFailureDomain)
{
    PeerTable table(peer(1, "a"));
    table.setPeers({ peer(2, "a"), peer(3, "b"), peer(4, "b") });
    std::optional<Core::Address> watcher = table.watcher();
    cr_assert(!watcher || watcher->ip == "10.0.0.2");
}

// Guards against one host sending every change to a whole failure domain, which takes seconds over a slow link, and against a
// watcher that watches through another one and therefore may not serve others.
Test(PeerTable, watchersArePartitionedWithinADomain)
{
    std::vector<PeerInfo> all;
    for (int i = 1; i <= 32; ++i)
        all.push_back(peer(i, "a"));
    std::map<std::string, int> followers;
    std::set<std::string> direct;
    for (const PeerInfo& self : all) {
        PeerTable table(self);
        std::vector<PeerInfo> others = all;
        std::erase(others, self);
        table.setPeers(others);
        std::optional<Core::Address> watcher = table.watcher();
        if (watcher)
            ++followers[watcher->text()];
        else
            direct.insert(self.address.text());
    }
    cr_assert_leq(direct.size(), 4);
    for (const auto& [watcher, count] : followers) {
        cr_assert(direct.contains(watcher));
        cr_assert_lt(count, 20);
    }
}

// Guards against assigning most jobs to hosts with little capacity.
Test(PeerTable, jobsAreDistributedByCapacity)
{
    PeerTable table(peer(1, "a"));
    PeerInfo strong = peer(2, "a");
    strong.capacity = 8;
    table.setPeers({ strong });
    int ofStrong = 0;
    for (uint64_t job = 0; job < 900; ++job)
        ofStrong += table.assigneeOf(job) ? 1 : 0;
    cr_assert(ofStrong > 700 && ofStrong < 870, "%d of 900 jobs", ofStrong);
}

// Guards against repeatedly calling a daemon that is down, and against never calling it again after it has recovered.
Test(PeerTable, suspectDaemonIsSkipped)
{
    PeerTable table(peer(1, "a"));
    table.setPeers({ peer(2, "a"), peer(3, "a") });
    for (uint64_t job = 0; job < 20; ++job) {
        std::optional<Core::Address> first = table.assigneeOf(job);
        if (!first)
            continue;
        table.suspect(*first);
        cr_assert(table.assigneeOf(job) != first);
        table.clearSuspicion(*first);
        cr_assert(table.assigneeOf(job) == first);
    }
}

// Guards against a daemon that was partitioned continuing to skip its peers after the partition has ended, and writing the
// ledgers itself.
Test(PeerTable, clearingSuspicionsRestoresAssignees)
{
    PeerTable table(peer(1, "a"));
    table.setPeers({ peer(2, "a"), peer(3, "a") });
    uint64_t job = 0;
    while (!table.assigneeOf(job))
        ++job;
    std::optional<Core::Address> assignee = table.assigneeOf(job);
    for (int failures = 0; failures < 5; ++failures) {
        table.suspect(peer(2, "a").address);
        table.suspect(peer(3, "a").address);
    }
    cr_assert_not(table.assigneeOf(job));
    table.clearSuspicions();
    cr_assert(table.assigneeOf(job) == assignee);
}

// Guards against jobs without an assignee when no other daemon is available.
Test(PeerTable, jobsFallBackToThisDaemon)
{
    PeerTable table(peer(1, "a"));
    cr_assert_not(table.assigneeOf(1));
    table.setPeers({ peer(2, "a") });
    table.suspect(peer(2, "a").address);
    cr_assert_not(table.assigneeOf(1));
}
