#pragma once

#include "LibCore/Address.h"
#include "LibCore/Async.h"
#include "LibPlatform/ObjectStore.h"
#include <functional>
#include <string>
#include <vector>

namespace Relay {

struct PeerStoreSettings {
    // Time for one peer to answer, beyond the wait of a watch.
    int64_t peerTimeoutMs { 350 };
    // Peers asked for one call.
    size_t maxPeerAttempts { 3 };
    // Time for which no peer is asked after none could help.
    int64_t peerBackoffMs { 250 };
    // Pause between looks whether the store answers again, and the time for each.
    int64_t probeIntervalMs { 200 };
    int64_t probeTimeoutMs { 400 };
    // Failed calls in a row after which the store counts as lost.
    int failureThreshold { 2 };
};

struct PeerStoreHooks {
    // Calls a peer; the failure kinds are those of Peer::Network::call.
    std::function<Core::Task<std::optional<std::string>>(Core::Address, std::string body, Core::Deadline, Core::Reason&)> callPeer;
    std::function<void(const Core::Reason&)> lost;
    std::function<void()> regained;
};

// The platform's store, reached through another daemon while it does not serve this one. The store refuses single hosts
// at times while it serves the others.
class PeerStore {
public:
    // The name of an object that is read to see whether the store answers again.
    PeerStore(const boost::asio::any_io_executor&, Platform::ObjectStore direct, std::string probeName, PeerStoreSettings, PeerStoreHooks);

    // Valid as long as this object.
    Platform::ObjectStore hooks();

    void setPeers(std::vector<Core::Address> peers) { m_peers = std::move(peers); }
    bool isLost() const { return m_isLost; }

    // Executes a call of another daemon on the store, never through a further peer.
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
    // The peer that answered last.
    std::optional<Core::Address> m_preferredPeer;
    Core::Deadline m_peerBackoffUntil { Core::SteadyClock::time_point {} };
    int m_failures { 0 };
    bool m_isLost { false };
    bool m_isStopping { false };
};

}
