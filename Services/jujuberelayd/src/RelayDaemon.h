#pragma once

#include "LibHTTP/Server.h"
#include "LibPeer/Network.h"
#include "LibRelay/GrantRouter.h"
#include "LibRelay/PeerDirectory.h"
#include "LibRelay/PeerStore.h"
#include "LibRelay/RequestHandler.h"
#include "LibRelay/StoreFollower.h"
#include "RelaySettings.h"

// One relay: follows the store's configuration and endpoints, and serves callers.
class RelayDaemon {
public:
    RelayDaemon(const boost::asio::any_io_executor&, RelaySettings);

    // Binds the addresses and starts to follow the store. Fails when an address is in use.
    bool start(Core::Reason&);

    // Leaves the balancer's rotation, finishes requests in progress and returns unused grants. False when the limit cut
    // something off.
    Core::Task<bool> stop();

    // Takes over settings that may change while the process runs.
    void reload(const RelaySettings&);

private:
    // Answers the calls of other daemons.
    void servePeers();
    Relay::HandlerHooks makeHandlerHooks();
    Relay::PeerStoreHooks makePeerStoreHooks();
    Relay::PeerDirectory::Hooks makePeerHooks();
    Relay::BudgetHooks makeBudgetHooks();
    Core::Task<std::optional<Relay::TransferReply>> askForTransfer(Core::Address, Relay::TransferRequest, Core::Deadline, Core::Reason&);
    Core::Task<std::optional<std::string>> serveTransfer(std::string body, Core::Reason&);
    Relay::FollowerHooks makeConfigurationHooks();
    Relay::FollowerHooks makeEndpointHooks();
    Relay::FollowerHooks makeAnnouncementHooks();
    // Lets the follower use another daemon's watch.
    Relay::FollowerHooks sharing(Relay::FollowerHooks);
    Core::Task<std::optional<Relay::WatchReply>> watchAtPeer(Relay::WatchRequest, Core::Reason&);
    Core::Task<std::optional<std::string>> serveWatch(std::string body, Core::Reason&);
    void noteWatchSource(const std::string& prefix, const std::string& source);
    void adoptConfiguration(const Platform::Object&);
    void adoptEndpoint(const Platform::Object&);
    std::optional<Relay::Endpoint> readEndpoint(const Platform::Object&);
    Core::Task<bool> refreshConfiguration();
    std::optional<Relay::Refusal> unservable() const;
    bool isReady() const;
    int64_t configurationAgeMs() const;
    Core::Task<void> answerReadiness(HTTP::Request, HTTP::ResponseWriter&);
    Core::Task<void> answerMetrics(HTTP::Request, HTTP::ResponseWriter&);
    Core::Task<void> expireEndpoints();
    Relay::PeerInfo self() const { return { m_settings.peerAddress, m_settings.failureDomain, m_settings.processorShare * m_settings.linkMbps }; }
    // Daemons to ask for the store while no announcement is known.
    std::vector<Core::Address> otherSeeds() const;
    void noteStore(const char* what, bool isLost, const std::string& detail);

    boost::asio::any_io_executor m_executor;
    RelaySettings m_settings;
    Telemetry::Metrics m_metrics;
    std::shared_ptr<HTTP::Client> m_client;
    Peer::Network m_network;
    Relay::PeerStore m_peerStore;
    Platform::ObjectStore m_store;
    Relay::PeerDirectory m_peers;
    Relay::GrantRouter m_grants;
    // The daemons whose watches of the store may be shared.
    Relay::PeerTable m_watchers;
    std::shared_ptr<const Relay::Configuration> m_configuration;
    Relay::EndpointDirectory m_endpoints;
    Relay::EndpointSelector m_selector;
    Relay::BudgetManager m_budgets;
    Relay::StoreFollower m_configurationFollower;
    Relay::StoreFollower m_endpointFollower;
    Relay::StoreFollower m_announcementFollower;
    Relay::RequestHandler m_handler;
    HTTP::Server m_callerServer;
    HTTP::Server m_readinessServer;
    HTTP::Server m_metricsServer;
    // Where the objects with each prefix are watched, for the log.
    std::map<std::string, std::string> m_watchSources;
    bool m_isStopping { false };
};
