#include "LibPlatform/InMemoryObjectStore.h"
#include "LibRelay/PeerDirectory.h"
#include "RunTask.h"

using namespace Relay;

static Platform::Object announcementOf(const std::string& host, const std::string& value)
{
    return { PeerDirectory::nameOf(host), 1, value };
}

struct DirectoryFixture {
    boost::asio::io_context context;
    Platform::InMemoryObjectStore store { context.get_executor() };
    std::vector<PeerInfo> peers;
    std::optional<uint64_t> incarnation;
    size_t peersAtAnnouncement { 0 };
    int announcedAgain { 0 };
    PeerDirectory directory { context.get_executor(), store.hooks(), "own", { { "10.0.0.1", 7340 }, "zone-a" }, makeHooks() };

    PeerDirectory::Hooks makeHooks()
    {
        PeerDirectory::Hooks hooks;
        hooks.announced = [this](uint64_t revision) {
            incarnation = revision;
            peersAtAnnouncement = peers.size();
        };
        hooks.changed = [this](std::vector<PeerInfo> all) { peers = std::move(all); };
        hooks.announcedAgain = [this] { ++announcedAgain; };
        return hooks;
    }
};

// Guards against a daemon announcing itself before it has read its peers. After a simultaneous restart of all hosts, each one
// saw no peers, acted as allocator and conflicted with all others when writing the ledgers.
Test(PeerDirectory, readsPeersBeforeItAnnounces)
{
    DirectoryFixture fixture;
    fixture.context.run_for(std::chrono::milliseconds(1));
    cr_assert_not(fixture.incarnation);
    fixture.directory.replaceAll({ announcementOf("other", R"({"address":"10.0.0.2:7340","failure_domain":"zone-b","process":"p"})") });
    TestSupport::runUntil(fixture.context, [&fixture] { return fixture.incarnation.has_value(); });
    cr_assert_eq(fixture.peersAtAnnouncement, 1);
    cr_assert(fixture.peers.front() == (PeerInfo { { "10.0.0.2", 7340 }, "zone-b" }));
}

// Guards against treating malformed announcements, or that of this host's earlier process, as peers.
Test(PeerDirectory, malformedAndOwnEntriesAreIgnored)
{
    DirectoryFixture fixture;
    fixture.directory.replaceAll({ announcementOf("a", "null"), announcementOf("b", R"({"address":7})"), announcementOf("c", R"({"address":"host:1"})"),
        announcementOf("own", R"({"address":"10.0.0.1:7340","process":"old"})") });
    cr_assert(fixture.peers.empty());
    fixture.directory.stop();
}

// Guards against keeping peers in the list after they have withdrawn.
Test(PeerDirectory, followsChanges)
{
    DirectoryFixture fixture;
    Platform::Object other = announcementOf("other", R"({"address":"10.0.0.2:7340"})");
    fixture.directory.replaceAll({});
    fixture.directory.adopt({ other, false });
    cr_assert_eq(fixture.peers.size(), 1);
    fixture.directory.adopt({ other, true });
    cr_assert(fixture.peers.empty());
    fixture.directory.stop();
}

// Guards against a lost reply causing a daemon to announce itself twice, with two incarnations.
Test(PeerDirectory, lostReplyDoesNotAnnounceTwice)
{
    DirectoryFixture fixture;
    fixture.store.loseReplies(1);
    fixture.directory.replaceAll({});
    TestSupport::runUntil(fixture.context, [&fixture] { return fixture.incarnation.has_value(); });
    Core::Reason reason;
    cr_assert_eq(fixture.store.table().get("relay-daemons/own", reason)->version, *fixture.incarnation);
    cr_assert_eq(fixture.store.writes(), 1);
}

// Load pattern: all hosts start again at the same time after a loss of power.
// Guards against each of them reading its own announcement from the store, which the listing before has just shown.
Test(PeerDirectory, announcementOfThePredecessorIsReplacedWithoutReadingIt)
{
    boost::asio::io_context context;
    Platform::InMemoryObjectStore memory(context.get_executor());
    Platform::ObjectStore store = memory.hooks();
    Core::Reason reason;
    std::string name = PeerDirectory::nameOf("own");
    Platform::Version old = TestSupport::runTask(context, store.put(name, R"({"process":"old"})", 0, Core::Deadline::after(std::chrono::seconds(1)), reason)).value();
    int reads = 0;
    std::function<Core::Task<std::optional<Platform::Object>>(std::string, Core::Deadline, Core::Reason&)> get = store.get;
    store.get = [&reads, get](std::string object, Core::Deadline deadline, Core::Reason& failure) {
        ++reads;
        return get(std::move(object), deadline, failure);
    };
    std::optional<uint64_t> incarnation;
    PeerDirectory directory(context.get_executor(), store, "own", { { "10.0.0.1", 7340 }, "zone-a" },
        { [&incarnation](uint64_t revision) { incarnation = revision; }, [](std::vector<PeerInfo>) {} });
    directory.replaceAll({ { name, old, R"({"process":"old"})" } });
    TestSupport::runUntil(context, [&incarnation] { return incarnation.has_value(); });
    cr_assert_gt(*incarnation, old);
    cr_assert_eq(reads, 0);
}

// Guards against a listing that was out of date keeping the daemon from announcing itself.
Test(PeerDirectory, announcementSucceedsAfterAnOutdatedListing)
{
    DirectoryFixture fixture;
    Core::Reason reason;
    TestSupport::runTask(fixture.context, fixture.store.hooks().put(PeerDirectory::nameOf("own"), R"({"process":"old"})", 0, Core::Deadline::after(std::chrono::seconds(1)), reason));
    fixture.directory.replaceAll({});
    TestSupport::runUntil(fixture.context, [&fixture] { return fixture.incarnation.has_value(); });
}

// Guards against forgetting the other daemons, and against being forgotten by them, because a restored store has lost announcements. The
// incarnation stays: this process's grants are under it.
Test(PeerDirectory, lostAnnouncementsAreKeptAndMadeAgain)
{
    DirectoryFixture fixture;
    Platform::Listing copy = fixture.store.table().list("");
    Platform::Object other = announcementOf("other", R"({"address":"10.0.0.2:7340"})");
    fixture.directory.replaceAll({ other });
    TestSupport::runUntil(fixture.context, [&fixture] { return fixture.incarnation.has_value(); });
    uint64_t incarnation = *fixture.incarnation;
    fixture.store.table().restore(copy);
    fixture.directory.storeRestored();
    fixture.directory.replaceAll({});
    cr_assert_eq(fixture.peers.size(), 1);
    cr_assert(fixture.directory.hosts().contains("other"));
    TestSupport::runUntil(fixture.context, [&fixture] { return fixture.announcedAgain == 1; });
    Core::Reason reason;
    cr_assert(fixture.store.table().get(PeerDirectory::nameOf("own"), reason));
    cr_assert_eq(*fixture.incarnation, incarnation);
    // The other one does not announce itself again.
    TestSupport::runUntil(fixture.context, [&fixture] { return fixture.peers.empty(); });
    // Restored with the announcement, which is then withdrawn under its new version.
    copy = fixture.store.table().list("");
    fixture.store.table().restore(copy);
    fixture.directory.storeRestored();
    fixture.directory.replaceAll(fixture.store.table().list("").objects);
    TestSupport::runTask(fixture.context, [&fixture]() -> Core::Task<bool> {
        co_await fixture.directory.withdraw(Core::Deadline::after(std::chrono::seconds(1)));
        co_return true;
    }());
    cr_assert_not(fixture.store.table().get(PeerDirectory::nameOf("own"), reason));
}
