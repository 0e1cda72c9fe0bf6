#pragma once

#include "LibCore/Address.h"
#include "LibCore/Async.h"
#include "LibPlatform/ObjectStore.h"
#include <functional>
#include <string>
#include <vector>

namespace Relay {

struct PeerStoreSettings {
    // Timeout of one call to a peer, in addition to the wait time of a watch.
    int64_t peerTimeoutMs { 350 };
    // Maximum number of peers to try for one call.
    size_t maxPeerAttempts { 3 };
    // No peer is tried for this long after all attempts of a call have failed.
    int64_t peerBackoffMs { 250 };
    // Interval and timeout of the probes that check whether the store has recovered.
    int64_t probeIntervalMs { 200 };
    int64_t probeTimeoutMs { 400 };
    // Interval of the probes while this daemon is kept current through its peers. Each probe counts against the store's rate,
    // also one that it refuses.
    int64_t servedProbeIntervalMs { 2'000 };
    // Consecutive failed calls after which the store is considered lost.
    int failureThreshold { 2 };
};

struct PeerStoreHooks {
    // Calls a peer. Failure kinds are those of Peer::Network::call.
    std::function<Core::Task<std::optional<std::string>>(Core::Address, std::string body, Core::Deadline, Core::Reason&)> callPeer;
    std::function<void(const Core::Reason&)> lost;
    std::function<void()> regained;
    // Whether what this daemon knows of the store is kept current through peers. May be unset.
    std::function<bool()> isServedByPeers {};
};

// The platform's store with failover through peers: the store sometimes refuses a single host while it serves the others, in
// which case calls are proxied by another daemon.
class PeerStore {
public:
    // probeName is the object that is read to check whether the store has recovered.
    PeerStore(const boost::asio::any_io_executor&, Platform::ObjectStore direct, std::string probeName, PeerStoreSettings, PeerStoreHooks);

    // The returned functions must not outlive this object.
    Platform::ObjectStore hooks();

    void setPeers(std::vector<Core::Address> peers) { m_peers = std::move(peers); }
    bool isLost() const { return m_isLost; }

    // Executes a peer's call directly on the store. Calls are never forwarded to a further peer.
    Core::Task<std::optional<std::string>> serve(std::string body, Core::Reason&);

    void stop() { m_isStopping = true; }

private:
    struct Call;

    Core::Task<std::optional<std::string>> askPeers(const Call&, Core::Deadline, Core::Reason&);
    template <typename T>
    Core::Task<std::optional<T>> run(Call, Core::Deadline, Core::Reason&);
    void recordSuccess();
    void recordFailure(const Core::Reason&);
    Core::Task<void> probe();

    boost::asio::any_io_executor m_executor;
    Platform::ObjectStore m_direct;
    std::string m_probeName;
    PeerStoreSettings m_settings;
    PeerStoreHooks m_hooks;
    std::vector<Core::Address> m_peers;
    // The peer that answered most recently.
    std::optional<Core::Address> m_preferredPeer;
    Core::Deadline m_peerBackoffUntil { Core::SteadyClock::time_point {} };
    int m_failures { 0 };
    bool m_isLost { false };
    bool m_isStopping { false };
};

}
