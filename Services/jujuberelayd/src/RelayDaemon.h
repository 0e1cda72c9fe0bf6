#pragma once

#include "LibHTTP/Server.h"
#include "LibPeer/Network.h"
#include "LibRelay/EndpointReach.h"
#include "LibRelay/EvacuationSet.h"
#include "LibRelay/GrantRouter.h"
#include "LibRelay/LinkMonitor.h"
#include "LibRelay/LoadMonitor.h"
#include "LibRelay/PeerDirectory.h"
#include "LibRelay/PeerStore.h"
#include "LibRelay/PlaceService.h"
#include "LibRelay/QuarantineStore.h"
#include "LibRelay/RequestHandler.h"
#include "LibRelay/SoftwareVersions.h"
#include "LibRelay/StoreFollower.h"
#include "LibRelay/StreamOriginStore.h"
#include "RelaySettings.h"
#include <set>

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
    Relay::StreamOriginHooks makeStreamOriginHooks();
    Core::Task<bool> handOverStreams(Core::Address, Relay::StreamHandover, Core::Reason&);
    Core::Task<std::optional<std::string>> serveStreams(std::string body, Core::Reason&);
    // Whether this daemon records the software versions for the fleet.
    bool recordsVersions() const;
    Relay::PeerStoreHooks makePeerStoreHooks();
    Relay::PeerDirectory::Hooks makePeerHooks();
    Relay::BudgetHooks makeBudgetHooks();
    Core::Task<std::optional<Relay::TransferReply>> requestTransfer(Core::Address, Relay::TransferRequest, Core::Deadline, Core::Reason&);
    Core::Task<std::optional<std::string>> serveTransfer(std::string body, Core::Reason&);
    Relay::PermitHooks makePermitHooks();
    Core::Task<std::optional<Relay::PermitReply>> requestPermit(Core::Address, Relay::PermitRequest, Core::Reason&);
    Core::Task<std::optional<std::string>> servePermit(std::string body, Core::Reason&);
    Relay::PlaceHooks makePlaceHooks();
    Core::Task<std::optional<bool>> requestPlace(Core::Address, Relay::PlaceRequest, Core::Reason&);
    Core::Task<std::optional<std::string>> servePlace(std::string body, Core::Reason&);
    Relay::FollowerHooks makeConfigurationHooks();
    Relay::FollowerHooks makeEndpointHooks();
    Relay::FollowerHooks makeAnnouncementHooks();
    Relay::FollowerHooks makeSuspectHooks();
    Relay::FollowerHooks makeEvacuationHooks();
    Relay::EvacuationHooks makeEvacuationSetHooks();
    void reportEvacuation(const std::string& failureDomain, bool isEvacuated);
    // Requests in progress at registered endpoints of failure domains that are printed like this.
    size_t requestsInDomain(const std::string& label) const;
    // Extends the hooks so that the follower can use the watch of another daemon.
    Relay::FollowerHooks withSharedWatches(Relay::FollowerHooks);
    Core::Task<std::optional<Relay::WatchReply>> watchAtPeer(Relay::WatchRequest, Core::Reason&);
    Core::Task<std::optional<std::string>> serveWatch(std::string body, Core::Reason&);
    void logWatchSource(const std::string& prefix, const std::string& source);
    void adoptConfiguration(const Platform::Object&);
    void adoptEndpoint(const Platform::Object&);
    std::optional<Relay::Endpoint> readEndpoint(const Platform::Object&);
    // Records the cold time in the entry if the endpoint directory has adopted it.
    void observeColdTime(const Relay::Endpoint&, uint64_t version);
    void logColdNotices();
    Core::Task<bool> refreshConfiguration();
    // Returns the refusal for all requests while this daemon cannot serve any.
    std::optional<Relay::Refusal> servingRefusal() const;
    // Refuses a part of the requests while the link is full.
    std::optional<Relay::Refusal> linkRefusal() const;
    bool isReady() const;
    int64_t configurationAgeMs() const;
    Core::Task<void> handleReadiness(HTTP::Request, HTTP::ResponseWriter&);
    Core::Task<void> handleMetrics(HTTP::Request, HTTP::ResponseWriter&);
    Core::Task<void> expireEndpoints();
    Core::Task<void> monitorLoad();
    void recordConnect(const HTTP::ConnectAttempt&);
    void recordReach(const HTTP::ConnectAttempt&);
    // Logs from which services this host has become cut off, and adapts what it keeps for their requests.
    void updateReach();
    // Whether this host reaches no endpoint of any service that has one.
    bool isCutOffFromAll() const;
    // Connects to endpoints from which this host is cut off, to find out when it no longer is.
    Core::Task<void> testReach();
    Core::Task<void> testReachOf(std::string service);
    void addRelayHooks(Relay::HandlerHooks&);
    // Logs when the link becomes full or free, and ends the suspicions that it has caused.
    void updateLinkState();
    // Measures the delay of the link with a connect to another daemon.
    Core::Task<void> testLink();
    // Called after this host's own path has failed, which makes all peers appear to fail.
    void clearPeerSuspicions();
    Relay::PeerInfo selfInfo() const { return { m_settings.peerAddress, m_settings.failureDomain, m_settings.processorShare * m_settings.linkMbps, m_settings.callerAddress }; }
    // Seed peers other than this daemon, through which the store is reached until announcements of peers are known.
    std::vector<Core::Address> otherSeeds() const;
    void predictEngineLoad();
    void logStoreAvailability(const char* what, bool isLost, const std::string& detail);
    void logStoreRestored(const char* what);

    boost::asio::any_io_executor m_executor;
    RelaySettings m_settings;
    Telemetry::Metrics m_metrics;
    std::shared_ptr<HTTP::BufferBudget> m_responseBudget;
    std::shared_ptr<HTTP::Client> m_client;
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
    Relay::PlaceService m_places;
    // Daemons through which requests are passed on while this host is cut off from endpoints; suspected by their addresses for callers.
    Relay::PeerTable m_relays;
    Relay::EndpointReach m_reach;
    std::shared_ptr<const Relay::Configuration> m_configuration;
    Relay::EndpointDirectory m_endpoints;
    Relay::EvacuationSet m_evacuations;
    Relay::EndpointSelector m_selector;
    Relay::BudgetManager m_budgets;
    Relay::PromptQuarantine m_quarantine;
    Relay::QuarantineStore m_quarantineStore;
    Relay::SoftwareVersions m_softwareVersions;
    Relay::StreamOriginStore m_streamOrigins;
    Relay::StoreFollower m_configurationFollower;
    Relay::StoreFollower m_endpointFollower;
    Relay::StoreFollower m_announcementFollower;
    Relay::StoreFollower m_suspectFollower;
    // Runs only where the settings have a limit for evacuations.
    Relay::StoreFollower m_evacuationFollower;
    Relay::RequestHandler m_handler;
    HTTP::Server m_callerServer;
    HTTP::Server m_readinessServer;
    HTTP::Server m_metricsServer;
    Relay::LoadMonitor m_load;
    Relay::LinkMonitor m_link { std::chrono::milliseconds(m_settings.fullLinkDelayMs) };
    // Failure domains that have a metric of their evacuation, as printed.
    std::set<std::string> m_measuredEvacuations;
    // Last logged fault in the cold limit of each service.
    std::map<std::string, std::string> m_loggedColdFaults;
    // Last logged watch source of each object prefix.
    std::map<std::string, std::string> m_loggedWatchSources;
    Core::SteadyClock::time_point m_startedAt { Core::SteadyClock::now() };
    bool m_wasLinkFull { false };
    Core::Deadline m_linkTestDueAt { Core::SteadyClock::time_point {} };
    // As last logged.
    std::set<std::string> m_cutOffServices;
    bool m_isStopping { false };
    // Set once the load balancer no longer chooses this daemon: when requests in progress are interrupted.
    std::optional<Core::Deadline> m_servesUntil;
};
