#include "LibPlatform/InMemoryObjectStore.h"
#include "LibRelay/PeerDirectory.h"
#include "RunTask.h"

using namespace Relay;

// Guards against a daemon that takes itself for the only one until its second look, although the entries of the processes
// before are there: after all hosts had started again at once, each of them wrote the ledgers against all others.
Test(PeerDirectory, knowsTheOthersBeforeItIsAnnounced)
{
    boost::asio::io_context context;
    Platform::InMemoryObjectStore store(context.get_executor());
    Core::Reason reason;
    cr_assert(store.table().put("relay-daemons/other", R"({"address":"10.0.0.2:7340","process":"p"})", 0, reason));
    std::optional<size_t> peersAtAnnouncement;
    size_t peers = 0;
    PeerDirectory::Hooks hooks;
    hooks.announced = [&](uint64_t) { peersAtAnnouncement = peers; };
    hooks.changed = [&](std::vector<Core::Address> addresses) { peers = addresses.size(); };
    PeerDirectory directory(store.hooks(), "own", { "10.0.0.1", 7340 }, hooks);
    Core::spawn(context.get_executor(), "announce", directory.run());
    TestSupport::runUntil(context, [&] { return peersAtAnnouncement.has_value(); });
    cr_assert_eq(*peersAtAnnouncement, 1);
    directory.stop();
}
