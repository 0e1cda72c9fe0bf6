#include "LibCore/Hash.h"
#include "RelayDaemon.h"
#include "RelayEvents.h"
#include <algorithm>
#include <cmath>

// Calls between relay daemons: token transfers, shared watches, and forwarded store calls.

using Core::Deadline;
using Core::Reason;

// Call type that forwards a store call.
static constexpr const char* storeCallType = "store";
// Call type that transfers tokens, and the time limit for serving it.
static constexpr const char* transferCallType = "transfer";
static constexpr std::chrono::milliseconds transferTimeout(300);
// Call type that shares a watch on the store, and the time allowed for the response after the wait has ended.
static constexpr const char* watchCallType = "watch";
static constexpr std::chrono::milliseconds watchResponseMargin(350);
// Call type that asks for a permit, and the time limit of the call: a request waits for it.
static constexpr const char* permitCallType = "permit";
static constexpr std::chrono::milliseconds permitTimeout(150);
// Call type that asks for a place at a brittle endpoint or returns one.
static constexpr const char* placeCallType = "place";
// Call type that hands over streams, and the time limit of the call.
static constexpr const char* streamsCallType = "streams";
static constexpr std::chrono::milliseconds streamsTimeout(300);
// A daemon that the store refuses is kept current by its peers if its configuration is not older than this, the age at which a peer
// stops sharing its watch.
static constexpr int64_t maxAgeServedByPeersMs = 2'000;

void RelayDaemon::servePeers()
{
    m_network.onCall(storeCallType, [this](Peer::Identity, std::string body, Reason& failure) { return m_peerStore.serve(std::move(body), failure); });
    m_network.onCall(transferCallType, [this](Peer::Identity, std::string body, Reason& failure) { return serveTransfer(std::move(body), failure); });
    m_network.onCall(permitCallType, [this](Peer::Identity, std::string body, Reason& failure) { return servePermit(std::move(body), failure); });
    m_network.onCall(placeCallType, [this](Peer::Identity, std::string body, Reason& failure) { return servePlace(std::move(body), failure); });
    m_network.onCall(streamsCallType, [this](Peer::Identity, std::string body, Reason& failure) { return serveStreams(std::move(body), failure); });
    m_network.onCall(watchCallType, [this](Peer::Identity, std::string body, Reason& failure) { return serveWatch(std::move(body), failure); });
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
        return requestTransfer(std::move(allocator), std::move(request), deadline, reason);
    };
    return hooks;
}

Core::Task<std::optional<Relay::TransferReply>> RelayDaemon::requestTransfer(Core::Address allocator, Relay::TransferRequest request, Deadline deadline, Reason& reason)
{
    std::optional<std::string> response = co_await m_network.call(allocator, transferCallType, Relay::encodeTransfer(request), deadline, reason);
    if (!response) {
        m_grants.peers().suspect(allocator);
        co_return std::nullopt;
    }
    m_grants.peers().clearSuspicion(allocator);
    co_return Relay::decodeReply(*response, reason);
}

Core::Task<std::optional<std::string>> RelayDaemon::serveTransfer(std::string body, Reason& reason)
{
    std::optional<Relay::TransferRequest> request = Relay::decodeTransfer(body, reason);
    if (!request)
        co_return std::nullopt;
    std::optional<Relay::TransferReply> reply = co_await m_budgets.transfer(std::move(*request), Deadline::after(transferTimeout), reason);
    if (!reply)
        co_return std::nullopt;
    co_return Relay::encodeReply(*reply);
}

Relay::PermitHooks RelayDaemon::makePermitHooks()
{
    Relay::PermitHooks hooks;
    hooks.issuerOf = [this](const std::string& endpoint) { return m_issuers.ownerOf(Core::hash64(endpoint)); };
    hooks.request = [this](Core::Address issuer, Relay::PermitRequest request, Reason& reason) { return requestPermit(std::move(issuer), std::move(request), reason); };
    hooks.daemons = [this] { return m_announcementFollower.hasListed() ? m_issuers.size() : 0; };
    hooks.isFleetCurrent = [this] {
        return m_announcementFollower.hasListed() && !m_announcementFollower.isLost()
            && Core::SteadyClock::now() - m_announcementFollower.confirmedAt() <= Relay::PermitService::maxFleetAge;
    };
    return hooks;
}

Core::Task<std::optional<Relay::PermitReply>> RelayDaemon::requestPermit(Core::Address issuer, Relay::PermitRequest request, Reason& reason)
{
    if (m_issuers.isSuspect(issuer))
        co_return std::nullopt;
    std::optional<std::string> response = co_await m_network.call(issuer, permitCallType, Relay::encodePermitRequest(request), Deadline::after(permitTimeout), reason);
    if (response) {
        m_issuers.clearSuspicion(issuer);
        co_return Relay::decodePermitReply(*response, reason);
    }
    // An issuer that refuses is there and may issue permits soon.
    if (reason.kind != Core::FailureKind::Refused)
        m_issuers.suspect(issuer);
    co_return std::nullopt;
}

Core::Task<std::optional<std::string>> RelayDaemon::servePermit(std::string body, Reason& reason)
{
    std::optional<Relay::PermitRequest> request = Relay::decodePermitRequest(body, reason);
    if (!request)
        co_return std::nullopt;
    // The other daemon may not know yet that the endpoint is cold.
    const Relay::Endpoint* endpoint = m_endpoints.find(request->endpoint);
    std::optional<double> coldLimit = endpoint ? m_selector.cold().limitOf(*endpoint, Core::SteadyClock::now()) : std::nullopt;
    if (coldLimit)
        request->perSecond = std::min(request->perSecond, *coldLimit);
    std::optional<Relay::PermitReply> reply = m_permits.serve(*request, Core::SteadyClock::now());
    if (reply)
        co_return Relay::encodePermitReply(*reply);
    reason = { Core::FailureKind::Unavailable, "serve permit", "peer", "this daemon does not issue permits of endpoint " + request->endpoint + " now" };
    co_return std::nullopt;
}

Relay::PlaceHooks RelayDaemon::makePlaceHooks()
{
    Relay::PlaceHooks hooks;
    hooks.issuerOf = [this](const std::string& endpoint) { return m_issuers.ownerOf(Core::hash64(endpoint)); };
    hooks.isIssuer = [this](const std::string& endpoint) { return m_permits.isIssuer(endpoint, Core::SteadyClock::now()); };
    hooks.call = [this](Core::Address issuer, Relay::PlaceRequest request, Reason& reason) { return requestPlace(std::move(issuer), std::move(request), reason); };
    hooks.daemons = [this] { return m_announcementFollower.hasListed() ? m_issuers.size() : 0; };
    hooks.inFlight = [this](const std::string& endpoint) { return m_selector.inFlight(endpoint); };
    return hooks;
}

Core::Task<std::optional<bool>> RelayDaemon::requestPlace(Core::Address issuer, Relay::PlaceRequest request, Reason& reason)
{
    if (m_issuers.isSuspect(issuer))
        co_return std::nullopt;
    std::optional<std::string> response = co_await m_network.call(issuer, placeCallType, Relay::encodePlaceRequest(request), Deadline::after(permitTimeout), reason);
    if (response) {
        m_issuers.clearSuspicion(issuer);
        co_return Relay::decodePlaceReply(*response, reason);
    }
    // An issuer that refuses is there, of an earlier release or not ready to assign places.
    if (reason.kind != Core::FailureKind::Refused)
        m_issuers.suspect(issuer);
    co_return std::nullopt;
}

Core::Task<std::optional<std::string>> RelayDaemon::servePlace(std::string body, Reason& reason)
{
    std::optional<Relay::PlaceRequest> request = Relay::decodePlaceRequest(body, reason);
    if (!request)
        co_return std::nullopt;
    if (std::optional<bool> isGranted = m_places.serve(*request, Core::SteadyClock::now()))
        co_return Relay::encodePlaceReply(*isGranted);
    reason = { Core::FailureKind::Unavailable, "serve place", "peer", "this daemon does not assign the places of endpoint " + request->endpoint + " now" };
    co_return std::nullopt;
}

// Keeps the records of streams to a share of the store's rate of writes.
static std::chrono::milliseconds streamWriteInterval(size_t daemons, double storeWritesPerSecond)
{
    static constexpr double shareOfWrites = 1.0 / 16;
    static constexpr double minIntervalMs = 200;
    static constexpr double maxIntervalMs = 1'500;
    double writers = std::ceil(static_cast<double>(daemons) / Relay::PeerTable::daemonsPerWatcher);
    double intervalMs = writers * 1'000 / std::max(1.0, storeWritesPerSecond * shareOfWrites);
    return std::chrono::milliseconds(static_cast<int64_t>(std::clamp(intervalMs, minIntervalMs, maxIntervalMs)));
}

Core::Task<bool> RelayDaemon::handOverStreams(Core::Address collector, Relay::StreamHandover streams, Reason& reason)
{
    std::optional<std::string> response = co_await m_network.call(collector, streamsCallType, Relay::encodeHandover(streams), Deadline::after(streamsTimeout), reason);
    // One that refuses is of an earlier release, or stops.
    if (!response && reason.kind != Core::FailureKind::Refused)
        m_watchers.suspect(collector);
    co_return response.has_value();
}

Core::Task<std::optional<std::string>> RelayDaemon::serveStreams(std::string body, Reason& reason)
{
    std::optional<Relay::StreamHandover> streams = Relay::decodeHandover(body, reason);
    if (!streams || !m_streamOrigins.accept(*streams, reason))
        co_return std::nullopt;
    co_return std::string();
}

Relay::PeerDirectory::Hooks RelayDaemon::makePeerHooks()
{
    Relay::PeerDirectory::Hooks hooks;
    hooks.announced = [this](uint64_t revision) {
        m_grants.start(m_settings.host, [this] { return m_peers.hosts(); });
        m_budgets.setIncarnation(revision);
        m_permits.setAnnounced(Core::SteadyClock::now());
        Core::logEvent(RelayEvents::announced, "incarnation=" + std::to_string(revision));
    };
    hooks.announcedAgain = [this] { m_permits.setAnnounced(Core::SteadyClock::now()); };
    hooks.changed = [this](std::vector<Relay::PeerInfo> peers) {
        std::vector<Core::Address> addresses;
        for (const Relay::PeerInfo& peer : peers)
            addresses.push_back(peer.address);
        m_peerStore.setPeers(addresses.empty() ? otherSeeds() : std::move(addresses));
        m_grants.peers().setPeers(peers);
        m_issuers.setPeers(peers);
        m_relays.setPeers(peers);
        m_watchers.setPeers(std::move(peers));
        m_budgets.setDaemons(m_watchers.size());
        m_streamOrigins.setWriteInterval(streamWriteInterval(m_watchers.size(), m_settings.storeWritesPerSecond));
    };
    return hooks;
}

Relay::FollowerHooks RelayDaemon::makeAnnouncementHooks()
{
    Relay::FollowerHooks hooks;
    hooks.listed = [this](const std::vector<Platform::Object>& objects) { m_peers.replaceAll(objects); };
    hooks.changed = [this](const Platform::Change& change) { m_peers.adopt(change); };
    hooks.lost = [this](const Reason& reason) { logStoreAvailability("announcements", true, " reason=\"" + reason.text() + "\""); };
    hooks.regained = [this] { logStoreAvailability("announcements", false, ""); };
    hooks.restored = [this] {
        m_peers.storeRestored();
        m_grants.rebuild();
        logStoreRestored("announcements");
    };
    return hooks;
}

Relay::FollowerHooks RelayDaemon::makeSuspectHooks()
{
    Relay::FollowerHooks hooks;
    hooks.listed = [this](const std::vector<Platform::Object>& objects) { m_quarantineStore.replaceAll(objects); };
    hooks.changed = [this](const Platform::Change& change) { m_quarantineStore.adopt(change); };
    hooks.lost = [this](const Reason& reason) { logStoreAvailability("suspect_parts", true, " reason=\"" + reason.text() + "\""); };
    hooks.regained = [this] { logStoreAvailability("suspect_parts", false, ""); };
    hooks.restored = [this] {
        m_quarantine.storeRestored(Core::SteadyClock::now());
        logStoreRestored("suspect_parts");
    };
    return hooks;
}

Relay::FollowerHooks RelayDaemon::withSharedWatches(Relay::FollowerHooks hooks)
{
    hooks.watchAtPeer = [this](Relay::WatchRequest request, Reason& reason) { return watchAtPeer(std::move(request), reason); };
    return hooks;
}

Core::Task<std::optional<Relay::WatchReply>> RelayDaemon::watchAtPeer(Relay::WatchRequest request, Reason& reason)
{
    std::optional<Core::Address> watcher = m_watchers.watcher();
    if (!watcher) {
        logWatchSource(request.prefix, "store");
        co_return std::nullopt;
    }
    Deadline deadline = Deadline::after(request.wait + watchResponseMargin);
    std::optional<std::string> response = co_await m_network.call(*watcher, watchCallType, Relay::encodeWatchRequest(request), deadline, reason);
    std::optional<Relay::WatchReply> reply = response ? Relay::decodeWatchReply(*response, reason) : std::nullopt;
    if (reply) {
        m_watchers.clearSuspicion(*watcher);
        logWatchSource(request.prefix, watcher->text());
        co_return reply;
    }
    m_watchers.suspect(*watcher);
    logWatchSource(request.prefix, "store reason=\"" + watcher->text() + ": " + reason.text() + "\"");
    co_return std::nullopt;
}

void RelayDaemon::logWatchSource(const std::string& prefix, const std::string& source)
{
    std::string& lastSource = m_loggedWatchSources[prefix];
    if (lastSource == source)
        return;
    lastSource = source;
    Core::logEvent(RelayEvents::watchSource, "prefix=" + prefix + " source=" + source);
}

Core::Task<std::optional<std::string>> RelayDaemon::serveWatch(std::string body, Reason& reason)
{
    std::optional<Relay::WatchRequest> request = Relay::decodeWatchRequest(body, reason);
    if (!request)
        co_return std::nullopt;
    for (Relay::StoreFollower* follower : { &m_configurationFollower, &m_endpointFollower, &m_announcementFollower, &m_suspectFollower, &m_evacuationFollower }) {
        if (follower->prefix() != request->prefix)
            continue;
        std::optional<Relay::WatchReply> reply = co_await follower->serve(std::move(*request), reason);
        co_return reply ? std::optional<std::string>(Relay::encodeWatchReply(*reply)) : std::nullopt;
    }
    reason = { Core::FailureKind::Invalid, "serve watch", "peer", "no follower for prefix " + request->prefix };
    co_return std::nullopt;
}

Relay::PeerStoreHooks RelayDaemon::makePeerStoreHooks()
{
    Relay::PeerStoreHooks hooks;
    hooks.callPeer = [this](Core::Address peer, std::string body, Deadline deadline, Reason& reason) {
        return m_network.call(std::move(peer), storeCallType, std::move(body), deadline, reason);
    };
    hooks.isServedByPeers = [this] { return configurationAgeMs() <= maxAgeServedByPeersMs; };
    hooks.lost = [this](const Reason& reason) { logStoreAvailability("store", true, " reason=\"" + reason.text() + "\""); };
    hooks.regained = [this] {
        // A partition from the store usually includes the peers too, so they are assumed to be reachable again.
        clearPeerSuspicions();
        logStoreAvailability("store", false, "");
    };
    return hooks;
}

void RelayDaemon::clearPeerSuspicions()
{
    m_grants.peers().clearSuspicions();
    m_watchers.clearSuspicions();
    m_issuers.clearSuspicions();
}
