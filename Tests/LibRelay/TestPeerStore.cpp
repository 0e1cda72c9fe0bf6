#include "LibPlatform/InMemoryObjectStore.h"
#include "LibRelay/PeerStore.h"
#include "RunTask.h"

using namespace Relay;

static PeerStoreSettings quickSettings()
{
    PeerStoreSettings settings;
    settings.probeIntervalMs = 1;
    settings.failureThreshold = 1;
    return settings;
}

// A daemon that the store refuses and a helper that it serves, which executes the calls of the first one.
struct PeerFixture {
    boost::asio::io_context context;
    Platform::InMemoryObjectStore served { context.get_executor() };
    Platform::InMemoryObjectStore refused { context.get_executor() };
    bool losesReplies { false };
    int lost { 0 };
    int regained { 0 };
    PeerStore helper { context.get_executor(), served.hooks(), "probe", quickSettings(), { {}, [](const Core::Reason&) {}, [] {} } };
    PeerStore store { context.get_executor(), refused.hooks(), "probe", quickSettings(),
        { [this](Core::Address, std::string body, Core::Deadline, Core::Reason& reason) { return callHelper(std::move(body), reason); },
            [this](const Core::Reason&) { ++lost; }, [this] { ++regained; } } };

    PeerFixture()
    {
        store.setPeers({ { "10.0.0.2", 1 } });
        refused.setOutage(true);
    }
    ~PeerFixture()
    {
        store.stop();
        helper.stop();
    }

    Core::Task<std::optional<std::string>> callHelper(std::string body, Core::Reason& reason)
    {
        std::optional<std::string> answer = co_await helper.serve(std::move(body), reason);
        if (answer && losesReplies) {
            reason.kind = Core::FailureKind::TimedOut;
            co_return std::nullopt;
        }
        co_return answer;
    }

    static Core::Deadline soon() { return Core::Deadline::after(std::chrono::seconds(5)); }
};

// Guards against a host that the store refuses running on a stale configuration while other hosts are served.
Test(PeerStore, everyCallGoesThroughAPeer)
{
    PeerFixture fixture;
    Core::Reason reason;
    Platform::ObjectStore hooks = fixture.store.hooks();
    std::optional<Platform::Version> version = TestSupport::runTask(fixture.context, hooks.put("k/a", "1", 0, fixture.soon(), reason));
    cr_assert(version, "%s", reason.text().c_str());
    cr_assert_eq(TestSupport::runTask(fixture.context, hooks.get("k/a", fixture.soon(), reason))->value, "1");
    cr_assert_eq(TestSupport::runTask(fixture.context, hooks.list("k/", fixture.soon(), reason))->objects.size(), 1);
    cr_assert_eq(TestSupport::runTask(fixture.context, hooks.watch("k/", 0, fixture.soon(), reason))->changes.size(), 1);
    cr_assert(TestSupport::runTask(fixture.context, hooks.remove("k/a", *version, fixture.soon(), reason)));
    cr_assert_eq(fixture.lost, 1);
}

// Guards against mistaking an error of the store's for an outage of the peer.
Test(PeerStore, storeErrorsKeepTheirKind)
{
    PeerFixture fixture;
    Core::Reason reason;
    Platform::ObjectStore hooks = fixture.store.hooks();
    cr_assert_not(TestSupport::runTask(fixture.context, hooks.get("k/none", fixture.soon(), reason)));
    cr_assert_eq(reason.kind, Core::FailureKind::NotFound);
    TestSupport::runTask(fixture.context, hooks.put("k/a", "1", 0, fixture.soon(), reason));
    cr_assert_not(TestSupport::runTask(fixture.context, hooks.put("k/a", "2", 0, fixture.soon(), reason)));
    cr_assert_eq(reason.kind, Core::FailureKind::Conflict);
}

// Guards against reporting a write as not done when the peer's reply was lost.
Test(PeerStore, lostAnswerOfAWriteIsUnknown)
{
    PeerFixture fixture;
    fixture.losesReplies = true;
    Core::Reason reason;
    cr_assert_not(TestSupport::runTask(fixture.context, fixture.store.hooks().put("k/a", "1", 0, fixture.soon(), reason)));
    cr_assert_eq(reason.kind, Core::FailureKind::OutcomeUnknown);
}

// Guards against forwarding calls from daemon to daemon while none of them reaches the store.
Test(PeerStore, daemonWithoutTheStoreRefusesPeerCalls)
{
    PeerFixture fixture;
    fixture.served.setOutage(true);
    Core::Reason reason;
    cr_assert_not(TestSupport::runTask(fixture.context, fixture.store.hooks().get("k/a", fixture.soon(), reason)));
    cr_assert_eq(reason.kind, Core::FailureKind::Unavailable);
    cr_assert_not(TestSupport::runTask(fixture.context, fixture.store.serve("x", reason)));
}

// Guards against a daemon never returning to direct access after the store has recovered.
Test(PeerStore, returnsToDirectAccessAfterRecovery)
{
    PeerFixture fixture;
    Core::Reason reason;
    TestSupport::runTask(fixture.context, fixture.store.hooks().get("k/a", fixture.soon(), reason));
    cr_assert(fixture.store.isLost());
    fixture.refused.setOutage(false);
    TestSupport::runUntil(fixture.context, [&fixture] { return fixture.regained == 1; });
    cr_assert_not(fixture.store.isLost());
}

// Guards against a malformed peer call crashing the process.
Test(PeerStore, malformedCallsAreRefused)
{
    PeerFixture fixture;
    Core::Reason reason;
    for (const std::string& body : { std::string(), std::string("\xa1"), std::string("\x80"), std::string("\xa1\x61\x61\x01", 4) }) {
        cr_assert_not(TestSupport::runTask(fixture.context, fixture.helper.serve(body, reason)));
        cr_assert_eq(reason.kind, Core::FailureKind::Invalid);
    }
}

// Load pattern: the store refuses a third of the hosts for several seconds and serves the others.
// Guards against each refused host probing the store five times a second although its peers keep it current: refused calls count
// against the store's rate, and those of a hundred hosts were a third of all calls of the fleet.
Test(PeerStore, hostServedByItsPeersProbesRarely)
{
    boost::asio::io_context context;
    int probes = 0;
    bool isServed = true;
    Platform::ObjectStore refusing;
    refusing.get = [&probes](std::string, Core::Deadline, Core::Reason& reason) -> Core::Task<std::optional<Platform::Object>> {
        ++probes;
        reason = { Core::FailureKind::Unavailable, "get", "store", "refused" };
        co_return std::nullopt;
    };
    PeerStoreSettings settings;
    settings.probeIntervalMs = 2;
    settings.servedProbeIntervalMs = 100;
    settings.failureThreshold = 1;
    PeerStoreHooks hooks;
    hooks.callPeer = [](Core::Address, std::string, Core::Deadline, Core::Reason& reason) -> Core::Task<std::optional<std::string>> {
        reason.kind = Core::FailureKind::Unavailable;
        co_return std::nullopt;
    };
    hooks.lost = [](const Core::Reason&) {};
    hooks.regained = [] {};
    hooks.isServedByPeers = [&isServed] { return isServed; };
    PeerStore store(context.get_executor(), refusing, "probe", settings, hooks);
    Core::Reason reason;
    TestSupport::runTask(context, store.hooks().get("k/a", PeerFixture::soon(), reason));
    auto probesWithin = [&](int milliseconds) {
        int before = probes;
        Core::Deadline end = Core::Deadline::after(std::chrono::milliseconds(milliseconds));
        TestSupport::runUntil(context, [&end] { return end.hasPassed(); });
        return probes - before;
    };
    cr_assert_leq(probesWithin(250), 3);
    // Without its peers, the host has to notice at once that the store serves it again.
    isServed = false;
    cr_assert_geq(probesWithin(250), 20);
    store.stop();
}
