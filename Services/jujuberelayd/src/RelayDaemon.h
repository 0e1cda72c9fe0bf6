#pragma once

#include "LibHTTP/Server.h"
#include "LibPeer/Network.h"
#include "LibRelay/Features.h"
#include "LibRelay/GrantRouter.h"
#include "LibRelay/HostLoad.h"
#include "LibRelay/LoadMonitor.h"
#include "LibRelay/PeerDirectory.h"
#include "LibRelay/PeerStore.h"
#include "LibRelay/QuarantineStore.h"
#include "LibRelay/RequestHandler.h"
#include "LibRelay/StoreFollower.h"
#include "RelaySettings.h"

// A relay daemon: follows the configuration and endpoints in the store, and serves callers.
class RelayDaemon {
public:
    RelayDaemon(const boost::asio::any_io_executor&, RelaySettings);

    // Binds the addresses and starts to follow the store. Fails if an address is in use.
    bool start(Core::Reason&);

    // Leaves the load balancer's rotation, finishes requests in progress and returns unused grants. Returns false if requests
    // were still in progress at the limit.
    Core::Task<bool> stop();

    // Applies the settings that can change at run time.
    void reload(const RelaySettings&);

private:
    // Registers the handlers of calls from other daemons.
    void servePeers();
    Relay::HandlerHooks makeHandlerHooks();
    Relay::PeerStoreHooks makePeerStoreHooks();
    Relay::PeerDirectory::Hooks makePeerHooks();
    Relay::BudgetHooks makeBudgetHooks();
    Core::Task<std::optional<Relay::TransferReply>> requestTransfer(Core::Address, Relay::TransferRequest, Core::Deadline, Core::Reason&);
    Core::Task<std::optional<std::string>> serveTransfer(std::string body, Core::Reason&);
    Relay::PermitHooks makePermitHooks();
    Core::Task<std::optional<Relay::PermitReply>> requestPermit(Core::Address, Relay::PermitRequest, Core::Reason&);
    Core::Task<std::optional<std::string>> servePermit(std::string body, Core::Reason&);
    Relay::FollowerHooks makeConfigurationHooks();
    Relay::FollowerHooks makeEndpointHooks();
    Relay::FollowerHooks makeAnnouncementHooks();
    Relay::FollowerHooks makeSuspectHooks();
    // Extends the hooks so that the follower can use the watch of another daemon.
    Relay::FollowerHooks withSharedWatches(Relay::FollowerHooks);
    Core::Task<std::optional<Relay::WatchReply>> watchAtPeer(Relay::WatchRequest, Core::Reason&);
    Core::Task<std::optional<std::string>> serveWatch(std::string body, Core::Reason&);
    void logWatchSource(const std::string& prefix, const std::string& source);
    void adoptConfiguration(const Platform::Object&);
    void adoptEndpoint(const Platform::Object&);
    std::optional<Relay::Endpoint> readEndpoint(const Platform::Object&);
    Core::Task<bool> refreshConfiguration();
    // Returns the refusal for all requests while the daemon has no current view of the store.
    std::optional<Relay::Refusal> viewRefusal() const;
    // Returns the refusal for all requests while this daemon cannot serve any.
    std::optional<Relay::Refusal> servingRefusal() const;
    bool isReady() const;
    int64_t configurationAgeMs() const;
    Core::Task<void> handleReadiness(HTTP::Request, HTTP::ResponseWriter&);
    Core::Task<void> handleMetrics(HTTP::Request, HTTP::ResponseWriter&);
    Core::Task<void> expireEndpoints();
    void observeHostLoad();
    Core::Task<void> monitorLoad();
    // Records a sample of the host's load and logs what follows from it.
    void recordHostLoad();
    void updateRotation(const std::vector<Relay::PeerInfo>& peers);
    Relay::PeerInfo selfInfo() const { return { m_settings.peerAddress, m_settings.failureDomain, m_settings.processorShare * m_settings.linkMbps }; }
    // Seed peers other than this daemon, through which the store is reached until announcements of peers are known.
    std::vector<Core::Address> otherSeeds() const;
    void logStoreAvailability(const char* what, bool isLost, const std::string& detail);
    void logStoreRestored(const char* what);

    boost::asio::any_io_executor m_executor;
    RelaySettings m_settings;
    Relay::Features m_features;
    Telemetry::Metrics m_metrics;
    std::shared_ptr<HTTP::BufferBudget> m_responseBudget;
    std::shared_ptr<HTTP::Client> m_client;
    // Of its own, so that its bytes are not counted as those of endpoints.
    std::shared_ptr<HTTP::Client> m_storeClient;
    Peer::Network m_network;
    Relay::PeerStore m_peerStore;
    Platform::ObjectStore m_store;
    Relay::PeerDirectory m_peers;
    Relay::GrantRouter m_grants;
    // Daemons whose watches on the store can be shared.
    Relay::PeerTable m_watchers;
    // Daemons that issue permits for endpoints with a limit.
    Relay::PeerTable m_issuers;
    Relay::PermitService m_permits;
    std::shared_ptr<const Relay::Configuration> m_configuration;
    Relay::EndpointDirectory m_endpoints;
    Relay::EndpointSelector m_selector;
    Relay::BudgetManager m_budgets;
    Relay::PromptQuarantine m_quarantine;
    Relay::QuarantineStore m_quarantineStore;
    Relay::StoreFollower m_configurationFollower;
    Relay::StoreFollower m_endpointFollower;
    Relay::StoreFollower m_announcementFollower;
    Relay::StoreFollower m_suspectFollower;
    Relay::HostLoad m_hostLoad;
    Relay::RequestHandler m_handler;
    HTTP::Server m_callerServer;
    HTTP::Server m_readinessServer;
    HTTP::Server m_metricsServer;
    Relay::LoadMonitor m_load;
    // Last logged watch source of each object prefix.
    std::map<std::string, std::string> m_loggedWatchSources;
    bool m_isStopping { false };
    // Set once the load balancer no longer chooses this daemon: when requests in progress are interrupted.
    std::optional<Core::Deadline> m_servesUntil;
};
