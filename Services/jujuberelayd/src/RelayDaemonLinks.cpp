#include "RelayDaemon.h"
#include "RelayEvents.h"

// What a relay asks of other daemons and does for them: tokens, shared watches, and calls of the store.

using Core::Deadline;
using Core::Reason;

// The type of calls between daemons that ask for the store.
static constexpr const char* storeCall = "store";
// The type of calls between daemons that move tokens, and the time that this daemon takes for one.
static constexpr const char* transferCall = "transfer";
static constexpr std::chrono::milliseconds transferServiceTime(300);
// The type of calls between daemons that share a watch of the store, and the time for an answer beyond the wait.
static constexpr const char* watchCall = "watch";
static constexpr std::chrono::milliseconds watchAnswerTime(350);

void RelayDaemon::servePeers()
{
    m_network.onCall(storeCall, [this](Peer::Identity, std::string body, Reason& failure) { return m_peerStore.serve(std::move(body), failure); });
    m_network.onCall(transferCall, [this](Peer::Identity, std::string body, Reason& failure) { return serveTransfer(std::move(body), failure); });
    m_network.onCall(watchCall, [this](Peer::Identity, std::string body, Reason& failure) { return serveWatch(std::move(body), failure); });
}

std::vector<Core::Address> RelayDaemon::otherSeeds() const
{
    std::vector<Core::Address> seeds = m_settings.seedPeers;
    std::erase(seeds, m_settings.peerAddress);
    return seeds;
}

Relay::BudgetHooks RelayDaemon::makeBudgetHooks()
{
    Relay::BudgetHooks hooks;
    hooks.submit = [this](Relay::GrantChange change, bool isUrgent, Deadline deadline, Reason& reason) {
        return m_grants.submit(std::move(change), isUrgent, deadline, reason);
    };
    hooks.flush = [this](const std::string& workspace) { m_grants.flush(workspace); };
    hooks.allocatorOf = [this](const std::string& workspace) { return m_grants.allocatorOf(workspace); };
    hooks.transfer = [this](Core::Address allocator, Relay::TransferRequest request, Deadline deadline, Reason& reason) {
        return askForTransfer(std::move(allocator), std::move(request), deadline, reason);
    };
    return hooks;
}

Core::Task<std::optional<Relay::TransferReply>> RelayDaemon::askForTransfer(Core::Address allocator, Relay::TransferRequest request, Deadline deadline, Reason& reason)
{
    std::optional<std::string> answer = co_await m_network.call(allocator, transferCall, Relay::encodeTransfer(request), deadline, reason);
    if (!answer) {
        m_grants.peers().suspect(allocator);
        co_return std::nullopt;
    }
    m_grants.peers().clearSuspicion(allocator);
    co_return Relay::decodeReply(*answer, reason);
}

Core::Task<std::optional<std::string>> RelayDaemon::serveTransfer(std::string body, Reason& reason)
{
    std::optional<Relay::TransferRequest> request = Relay::decodeTransfer(body, reason);
    if (!request)
        co_return std::nullopt;
    std::optional<Relay::TransferReply> reply = co_await m_budgets.transfer(std::move(*request), Deadline::after(transferServiceTime), reason);
    if (!reply)
        co_return std::nullopt;
    co_return Relay::encodeReply(*reply);
}

Relay::PeerDirectory::Hooks RelayDaemon::makePeerHooks()
{
    Relay::PeerDirectory::Hooks hooks;
    hooks.announced = [this](uint64_t revision) {
        m_budgets.setIncarnation(revision);
        Core::logEvent(RelayEvents::announced, "incarnation=" + std::to_string(revision));
    };
    hooks.changed = [this](std::vector<Relay::PeerInfo> peers) {
        std::vector<Core::Address> addresses;
        for (const Relay::PeerInfo& peer : peers)
            addresses.push_back(peer.address);
        m_peerStore.setPeers(addresses.empty() ? otherSeeds() : std::move(addresses));
        m_grants.peers().setPeers(peers);
        m_watchers.setPeers(std::move(peers));
        m_budgets.setDaemons(m_watchers.size());
    };
    return hooks;
}

Relay::FollowerHooks RelayDaemon::makeAnnouncementHooks()
{
    Relay::FollowerHooks hooks;
    hooks.listed = [this](const std::vector<Platform::Object>& objects) { m_peers.replaceAll(objects); };
    hooks.changed = [this](const Platform::Change& change) { m_peers.adopt(change); };
    hooks.lost = [this](const Reason& reason) { noteStore("announcements", true, " reason=\"" + reason.text() + "\""); };
    hooks.regained = [this] { noteStore("announcements", false, ""); };
    return hooks;
}

Relay::FollowerHooks RelayDaemon::sharing(Relay::FollowerHooks hooks)
{
    hooks.watchAtPeer = [this](Relay::WatchRequest request, Reason& reason) { return watchAtPeer(std::move(request), reason); };
    return hooks;
}

Core::Task<std::optional<Relay::WatchReply>> RelayDaemon::watchAtPeer(Relay::WatchRequest request, Reason& reason)
{
    std::optional<Core::Address> watcher = m_watchers.watcher();
    if (!watcher) {
        noteWatchSource(request.prefix, "store");
        co_return std::nullopt;
    }
    Deadline deadline = Deadline::after(request.wait + watchAnswerTime);
    std::optional<std::string> answer = co_await m_network.call(*watcher, watchCall, Relay::encodeWatchRequest(request), deadline, reason);
    std::optional<Relay::WatchReply> reply = answer ? Relay::decodeWatchReply(*answer, reason) : std::nullopt;
    if (reply) {
        m_watchers.clearSuspicion(*watcher);
        noteWatchSource(request.prefix, watcher->text());
        co_return reply;
    }
    m_watchers.suspect(*watcher);
    noteWatchSource(request.prefix, "store reason=\"" + watcher->text() + ": " + reason.text() + "\"");
    co_return std::nullopt;
}

void RelayDaemon::noteWatchSource(const std::string& prefix, const std::string& source)
{
    std::string& noted = m_watchSources[prefix];
    if (noted == source)
        return;
    noted = source;
    Core::logEvent(RelayEvents::watchSource, "prefix=" + prefix + " source=" + source);
}

Core::Task<std::optional<std::string>> RelayDaemon::serveWatch(std::string body, Reason& reason)
{
    std::optional<Relay::WatchRequest> request = Relay::decodeWatchRequest(body, reason);
    if (!request)
        co_return std::nullopt;
    for (Relay::StoreFollower* follower : { &m_configurationFollower, &m_endpointFollower, &m_announcementFollower }) {
        if (follower->prefix() != request->prefix)
            continue;
        std::optional<Relay::WatchReply> reply = co_await follower->serve(std::move(*request), reason);
        co_return reply ? std::optional<std::string>(Relay::encodeWatchReply(*reply)) : std::nullopt;
    }
    reason = { Core::FailureKind::Invalid, "serve watch", "peer", "nothing follows " + request->prefix };
    co_return std::nullopt;
}

Relay::PeerStoreHooks RelayDaemon::makePeerStoreHooks()
{
    Relay::PeerStoreHooks hooks;
    hooks.callPeer = [this](Core::Address peer, std::string body, Deadline deadline, Reason& reason) {
        return m_network.call(std::move(peer), storeCall, std::move(body), deadline, reason);
    };
    hooks.lost = [this](const Reason& reason) { noteStore("store", true, " reason=\"" + reason.text() + "\""); };
    hooks.regained = [this] {
        // A cut from the store mostly is one from the other daemons too, and they are back with it.
        m_grants.peers().clearSuspicions();
        m_watchers.clearSuspicions();
        noteStore("store", false, "");
    };
    return hooks;
}
