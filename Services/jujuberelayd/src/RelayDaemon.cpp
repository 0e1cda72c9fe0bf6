#include "RelayDaemon.h"

#include "ClientMetrics.h"
#include "LibCore/Hash.h"
#include "LibCore/Random.h"
#include "PlatformAdapter/Adapter.h"
#include "RelayEvents.h"

using Core::Deadline;
using Core::Reason;

// Fraction of the retry allowance that is used. The rest is a reserve: hosts join and leave, and a restarted process does not
// know the retries that its predecessor sent.
static constexpr double retryAllowanceFraction = 0.75;
// Time until the load balancer has detected that a host is not ready and sends it no new connections.
static constexpr std::chrono::milliseconds readinessPropagationTime(2'600);
// Time reserved at the end of a shutdown for returning grants.
static constexpr std::chrono::milliseconds grantReturnTime(900);
static constexpr std::chrono::milliseconds activeRequestPollInterval(20);
static constexpr std::chrono::milliseconds endpointExpiryInterval(250);
// If the configuration was confirmed within this time, its watch is not overdue, and an unknown route or key is refused
// without reading the configuration again.
static constexpr int64_t maxFollowedAgeMs = 3'500;
static constexpr std::chrono::milliseconds refreshTimeout(500);
// Daemons that start together announce themselves within about this time, so their announcements are batched.
static constexpr int64_t announcementBatchMs = 500;
// Daemons that start together know of each other after about this time.
static constexpr int64_t peerDiscoveryTimeMs = 1'000;
// A daemon that has gone is noticed by calling it, so a silent connection to the store may leave the announcements out of date for
// longer than the configuration and the endpoints.
static constexpr int64_t announcementWatchMs = 4'500;
// A part must be quarantined by all daemons within 3 s, also if the connection of a watch falls silent.
static constexpr int64_t suspectWatchMs = 2'400;
// Changes in quick succession are batched, since each message is sent to several daemons.
static constexpr int64_t changeBatchMs = 250;
static constexpr int64_t retryAfterMs = 500;
// A retry reaches another daemon.
static constexpr int64_t retryAfterOverloadMs = 100;

static Relay::HandlerSettings handlerSettingsOf(const RelaySettings& settings)
{
    Relay::HandlerSettings result;
    result.retryPercent = static_cast<int>(settings.retryShare * 100 * retryAllowanceFraction);
    result.retryExtra = static_cast<int64_t>(settings.retryExtra * retryAllowanceFraction);
    result.sendsUrgency = PlatformAdapter::featuresOf(settings.features).predictsEngineLoad;
    return result;
}

static HTTP::ServerLimits limitsOf(const Relay::CallerLimits& limits)
{
    HTTP::ServerLimits result;
    if (limits.maxBodyBytes > 0)
        result.maxBodyBytes = static_cast<size_t>(limits.maxBodyBytes);
    if (limits.maxHeaderBytes > 0)
        result.maxHeaderBytes = static_cast<size_t>(limits.maxHeaderBytes);
    result.requestTimeoutMs = limits.requestTimeoutMs;
    result.idleTimeoutMs = limits.idleTimeoutMs;
    return result;
}

static int64_t ageMs(const Relay::StoreFollower& follower)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Core::SteadyClock::now() - follower.confirmedAt()).count();
}

static Relay::FollowerSettings batchingSettings(int64_t milliseconds)
{
    Relay::FollowerSettings settings;
    settings.batchWindowMs = milliseconds;
    return settings;
}

static Relay::FollowerSettings sharedFollowerSettings()
{
    Relay::FollowerSettings settings = batchingSettings(changeBatchMs);
    settings.firstWatchDelayMs = peerDiscoveryTimeMs;
    return settings;
}

static Relay::FollowerSettings evacuationFollowerSettings(const RelaySettings& relaySettings)
{
    // The list must also be confirmed often enough for the outage limit.
    std::chrono::milliseconds limit = std::min(relaySettings.evacuateLimit(), std::chrono::milliseconds(relaySettings.outageLimitMs));
    Relay::FollowerSettings settings = Relay::EvacuationSet::followerSettings(limit);
    settings.firstWatchDelayMs = peerDiscoveryTimeMs;
    return settings;
}

static Relay::FollowerSettings withWatchTime(int64_t milliseconds, Relay::FollowerSettings settings)
{
    settings.maxSharedAgeMs += milliseconds - settings.watchMs;
    settings.watchMs = milliseconds;
    return settings;
}

RelayDaemon::RelayDaemon(const boost::asio::any_io_executor& executor, RelaySettings settings)
    : m_executor(executor)
    , m_settings(std::move(settings))
    , m_responseBudget(std::make_shared<HTTP::BufferBudget>(m_settings.responseBytes()))
    , m_client(std::make_shared<HTTP::Client>(executor, m_responseBudget))
    , m_network(executor, { { m_settings.host, 0, m_settings.failureDomain }, m_settings.peerAddress, m_settings.peerKey, {}, {}, {} })
    , m_peerStore(executor, PlatformAdapter::makeStore(m_client, m_settings.storeAddress), Relay::PeerDirectory::nameOf(m_settings.host), {}, makePeerStoreHooks())
    , m_store(m_peerStore.hooks())
    , m_peers(executor, m_store, m_settings.host, selfInfo(), makePeerHooks())
    , m_grants(executor, m_store, selfInfo(), {})
    , m_watchers(selfInfo())
    , m_issuers(selfInfo())
    , m_permits(makePermitHooks())
    , m_places(m_settings.host, makePlaceHooks())
    , m_relays(selfInfo())
    , m_endpoints([this](const Relay::Endpoint& endpoint, const char* why) {
        m_selector.forget(endpoint.id);
        Core::logEvent(RelayEvents::endpointRemoved, "endpoint=" + endpoint.id + " service=" + endpoint.service + " reason=\"" + why + "\"");
    })
    , m_evacuations(PlatformAdapter::evacuationPrefix, makeEvacuationSetHooks())
    , m_selector(m_endpoints, m_settings.failureDomain, { m_settings.coldOverage, m_settings.coldExtra })
    , m_budgets(executor, makeBudgetHooks(), { m_settings.host })
    , m_quarantine({}, [this] { m_quarantineStore.wake(); })
    , m_quarantineStore(executor, m_store, m_quarantine)
    , m_streamOrigins(executor, m_store, m_settings.host, m_softwareVersions, makeStreamOriginHooks())
    , m_configurationFollower(executor, m_store, PlatformAdapter::configurationPrefix, sharedFollowerSettings(), withSharedWatches(makeConfigurationHooks()))
    , m_endpointFollower(executor, m_store, PlatformAdapter::endpointPrefix, sharedFollowerSettings(), withSharedWatches(makeEndpointHooks()))
    , m_announcementFollower(executor, m_store, Relay::PeerDirectory::prefix, withWatchTime(announcementWatchMs, batchingSettings(announcementBatchMs)), withSharedWatches(makeAnnouncementHooks()))
    , m_suspectFollower(executor, m_store, Relay::SuspectPart::prefix, withWatchTime(suspectWatchMs, sharedFollowerSettings()), withSharedWatches(makeSuspectHooks()))
    , m_evacuationFollower(executor, m_store, PlatformAdapter::evacuationPrefix, evacuationFollowerSettings(m_settings), withSharedWatches(makeEvacuationHooks()))
    , m_handler(executor, PlatformAdapter::makeCodec(), makeHandlerHooks(), handlerSettingsOf(m_settings), m_client, m_selector, m_budgets, m_quarantine, m_metrics)
    , m_callerServer(executor, [this](HTTP::Request request, HTTP::ResponseWriter& writer) { return m_handler.handle(std::move(request), writer); })
    , m_readinessServer(executor, [this](HTTP::Request request, HTTP::ResponseWriter& writer) { return handleReadiness(std::move(request), writer); })
    , m_metricsServer(executor, [this](HTTP::Request request, HTTP::ResponseWriter& writer) { return handleMetrics(std::move(request), writer); })
{
    if (m_settings.followsEvacuations())
        m_selector.setEvacuations(m_evacuations);
    m_selector.setSoftwareVersions(m_softwareVersions);
    m_callerServer.setCapacity(m_settings.callerCapacity());
    m_readinessServer.setCapacity(m_settings.statusCapacity());
    m_metricsServer.setCapacity(m_settings.statusCapacity());
    registerClientMetrics(m_metrics, "callers", m_callerServer);
    registerClientMetrics(m_metrics, "readiness", m_readinessServer);
    registerClientMetrics(m_metrics, "metrics", m_metricsServer);
    m_metrics.observe("jujuberelay_relay_configuration_age_seconds", "Time since the store last confirmed the configuration.",
        [this] { return static_cast<double>(configurationAgeMs()) / 1'000; });
    m_metrics.observe("jujuberelay_relay_response_bytes", "Memory in use for what has been received of responses; see memory_mb.",
        [this] { return static_cast<double>(m_responseBudget->usedBytes()); });
    m_metrics.observe("jujuberelay_relay_response_refusals", "Reads that were ended since the memory for responses was short, or one server took up too much of it.",
        [this] { return static_cast<double>(m_responseBudget->refusals()); });
    m_metrics.observe("jujuberelay_relay_endpoints", "Endpoints that are believed to serve or to leave.",
        [this] { return static_cast<double>(m_endpoints.endpoints().size()); });
    m_metrics.observe("jujuberelay_relay_timer_lag_seconds", "How late the last sample timer fired; a host that is short of processor time refuses requests.",
        [this] { return static_cast<double>(m_load.lag().count()) / 1'000; });
    m_metrics.observe("jujuberelay_relay_link_delay_seconds", "Round trip over this host's link, from connects in the last second; a host whose link is full refuses requests.",
        [this] { return static_cast<double>(m_link.delay(Core::SteadyClock::now()).count()) / 1'000; });
    m_metrics.observe("jujuberelay_relay_quarantined_parts", "Prompt parts with which requests are refused, since they crashed engines.",
        [this] { return static_cast<double>(m_quarantine.quarantinedParts(Core::SteadyClock::now())); });
    m_metrics.observe("jujuberelay_relay_limited_endpoints", "Endpoints that have named a limit on requests a second.",
        [this] { return static_cast<double>(m_selector.limits().size()); });
    m_metrics.observe("jujuberelay_relay_cold_endpoints", "Endpoints that are cold and get requests only with a permit.",
        [this] { return static_cast<double>(m_selector.cold().countCold(Core::SteadyClock::now())); });
    if (PlatformAdapter::featuresOf(m_settings.features).predictsEngineLoad)
        predictEngineLoad();
    m_metrics.observe("jujuberelay_relay_active_requests", "Requests in progress.", [this] { return static_cast<double>(m_callerServer.activeRequests()); });
    m_metrics.observeCounter("jujuberelay_relay_connections_opened_total", "Connections opened to endpoints and the store.",
        [this] { return m_client->connectionsOpened(); });
    m_client->onConnectAttempt([this](const HTTP::ConnectAttempt& attempt) { recordConnect(attempt); });
    m_metrics.observeCounter("jujuberelay_relay_idle_timeouts_total", "Connections of callers that were closed by the idle timeout.",
        [this] { return m_callerServer.idleTimeouts(); });
    m_metrics.observe("jujuberelay_relay_streams_to_take_up", "Streams that began at this daemon and that callers may still take up.",
        [this] { return static_cast<double>(m_streamOrigins.streams()); });
    m_metrics.observeCounter("jujuberelay_relay_stream_record_writes_total", "Writes of the streams that began at this daemon, while a service has several software versions.",
        [this] { return m_streamOrigins.writes(); });
    m_metrics.observeCounter("jujuberelay_relay_ledger_writes_total", "Writes of budget ledgers.", [this] { return m_grants.writes(); });
}

void RelayDaemon::predictEngineLoad()
{
    m_selector.predictEngineLoad();
    for (size_t i = 0; i < Relay::engineChoiceReasons; ++i) {
        auto reason = static_cast<Relay::EngineChoiceReason>(i);
        m_metrics.observeCounter("jujuberelay_relay_engine_choices_total", "Choices of an engine, by reason.",
            [this, reason] { return m_selector.engineChooser()->choices(reason); }, { { "reason", Relay::nameOf(reason) } });
    }
}

static const char* nameOf(HTTP::ConnectAttempt::Outcome outcome)
{
    switch (outcome) {
    case HTTP::ConnectAttempt::Outcome::Established:
        return "established";
    case HTTP::ConnectAttempt::Outcome::Refused:
        return "refused";
    case HTTP::ConnectAttempt::Outcome::TimedOut:
        return "timed_out";
    }
    return "unknown";
}

void RelayDaemon::recordConnect(const HTTP::ConnectAttempt& attempt)
{
    m_metrics.histogram("jujuberelay_relay_connect_seconds", "Time to open a connection to an endpoint or the store, by outcome.", Telemetry::HistogramAxis::latencySeconds(), { { "outcome", nameOf(attempt.outcome) } })
        .observe(static_cast<double>(attempt.elapsed().count()) / 1'000);
    m_link.record(attempt);
    updateLinkState();
    recordReach(attempt);
}

void RelayDaemon::updateLinkState()
{
    Core::SteadyClock::time_point now = Core::SteadyClock::now();
    bool isFull = m_link.isFull(now);
    if (std::exchange(m_wasLinkFull, isFull) == isFull)
        return;
    // Calls to them have failed for want of room on this host's link.
    if (!isFull)
        clearPeerSuspicions();
    Core::logEvent(isFull ? RelayEvents::linkFull : RelayEvents::linkFree, "delay_ms=" + std::to_string(m_link.delay(now).count()) + " active_requests=" + std::to_string(m_callerServer.activeRequests()) + " needs_rest=" + std::to_string(m_link.needsRest(now)));
}

bool RelayDaemon::start(Reason& reason)
{
    m_peerStore.setPeers(otherSeeds());
    servePeers();
    if (!m_network.listen(reason) || !m_callerServer.listen(m_settings.callerAddress, reason) || !m_readinessServer.listen(m_settings.readinessAddress, reason)
        || !m_metricsServer.listen(m_settings.metricsAddress, reason))
        return false;
    Core::logEvent(RelayEvents::started, "host=" + m_settings.host + " callers=" + m_settings.callerAddress.text() + " readiness=" + m_settings.readinessAddress.text() + " metrics=" + m_settings.metricsAddress.text() + " store=" + m_settings.storeAddress.text() + " evacuate_limit_ms=" + std::to_string(m_settings.evacuateLimit().count()));
    Core::spawn(m_executor, "follow configuration", m_configurationFollower.run());
    Core::spawn(m_executor, "follow endpoints", m_endpointFollower.run());
    Core::spawn(m_executor, "follow announcements", m_announcementFollower.run());
    Core::spawn(m_executor, "follow suspect parts", m_suspectFollower.run());
    if (m_settings.followsEvacuations())
        Core::spawn(m_executor, "follow evacuations", m_evacuationFollower.run());
    Core::spawn(m_executor, "share suspect parts", m_quarantineStore.run());
    Core::spawn(m_executor, "record software versions", m_streamOrigins.runVersions());
    Core::spawn(m_executor, "record streams", m_streamOrigins.runStreams());
    Core::spawn(m_executor, "expire endpoints", expireEndpoints());
    Core::spawn(m_executor, "maintain budgets", m_budgets.maintain());
    Core::spawn(m_executor, "monitor load", monitorLoad());
    Core::spawn(m_executor, "test reach", testReach());
    return true;
}

void RelayDaemon::logStoreAvailability(const char* what, bool isLost, const std::string& detail)
{
    Core::logEvent(isLost ? RelayEvents::storeLost : RelayEvents::storeRegained, std::string("following=") + what + " configuration_age_ms=" + std::to_string(configurationAgeMs()) + detail);
}

void RelayDaemon::logStoreRestored(const char* what)
{
    Core::logEvent(RelayEvents::storeRestored, std::string("following=") + what);
}

Relay::FollowerHooks RelayDaemon::makeConfigurationHooks()
{
    Relay::FollowerHooks hooks;
    hooks.listed = [this](const std::vector<Platform::Object>& objects) {
        for (const Platform::Object& object : objects)
            adoptConfiguration(object);
    };
    hooks.changed = [this](const Platform::Change& change) {
        if (!change.isDeleted)
            adoptConfiguration(change.object);
    };
    hooks.lost = [this](const Reason& reason) { logStoreAvailability("configuration", true, " reason=\"" + reason.text() + "\""); };
    hooks.regained = [this] { logStoreAvailability("configuration", false, ""); };
    hooks.restored = [this] { logStoreRestored("configuration"); };
    return hooks;
}

Relay::FollowerHooks RelayDaemon::makeEndpointHooks()
{
    Relay::FollowerHooks hooks;
    hooks.listed = [this](const std::vector<Platform::Object>& objects) {
        std::vector<Relay::Endpoint> endpoints;
        std::vector<uint64_t> versions;
        for (const Platform::Object& object : objects) {
            if (std::optional<Relay::Endpoint> endpoint = readEndpoint(object)) {
                endpoints.push_back(std::move(*endpoint));
                versions.push_back(object.version);
            }
        }
        m_endpoints.replaceAll(endpoints, Core::SteadyClock::now());
        for (size_t i = 0; i < endpoints.size(); ++i)
            observeColdTime(endpoints[i], versions[i]);
        logColdNotices();
    };
    hooks.changed = [this](const Platform::Change& change) {
        if (change.isDeleted)
            m_endpoints.remove(change.object.name.substr(change.object.name.find('/') + 1), Core::SteadyClock::now());
        else
            adoptEndpoint(change.object);
    };
    hooks.lost = [this](const Reason& reason) {
        m_endpoints.storeLost();
        m_softwareVersions.invalidate();
        logStoreAvailability("endpoints", true, " reason=\"" + reason.text() + "\"");
    };
    hooks.regained = [this] {
        m_endpoints.storeRegained(Core::SteadyClock::now());
        logStoreAvailability("endpoints", false, "");
    };
    hooks.restored = [this] {
        m_endpoints.storeRestored(Core::SteadyClock::now());
        m_softwareVersions.invalidate();
        logStoreRestored("endpoints");
    };
    return hooks;
}

void RelayDaemon::adoptConfiguration(const Platform::Object& object)
{
    if (object.name != PlatformAdapter::configurationName)
        return;
    Reason reason;
    std::optional<Relay::Configuration> configuration = PlatformAdapter::decodeConfiguration(object.value, reason);
    if (!configuration) {
        Core::logEvent(RelayEvents::objectIgnored, "object=" + object.name + " store_version=" + std::to_string(object.version) + " reason=\"" + reason.text() + "\"");
        return;
    }
    // Responses may arrive out of order; an older version must not replace a newer one.
    uint64_t current = m_configuration ? m_configuration->version() : 0;
    if (m_configuration && configuration->version() <= current)
        return;
    m_configuration = std::make_shared<const Relay::Configuration>(std::move(*configuration));
    m_callerServer.setLimits(limitsOf(m_configuration->callerLimits()));
    m_budgets.adopt(*m_configuration);
    m_selector.cold().setServices(m_configuration->services());
    std::map<std::string, std::string> loggedBefore = std::exchange(m_loggedColdFaults, {});
    for (const auto& [name, service] : m_configuration->services()) {
        m_loggedColdFaults[name] = service.coldFault;
        if (!service.coldFault.empty() && loggedBefore[name] != service.coldFault)
            Core::logEvent(RelayEvents::coldTimeUnreadable, "service=" + name + " configuration=" + std::to_string(m_configuration->version()) + " reason=\"" + service.coldFault + "\"");
    }
    logColdNotices();
    Core::logEvent(RelayEvents::configurationAdopted, "version=" + std::to_string(m_configuration->version()) + " before=" + std::to_string(current) + " store_version=" + std::to_string(object.version) + " routes=" + std::to_string(m_configuration->routes().size()) + " workspaces=" + std::to_string(m_configuration->workspaces().size()) + " idle_timeout_ms=" + std::to_string(m_configuration->callerLimits().idleTimeoutMs) + " request_timeout_ms=" + std::to_string(m_configuration->callerLimits().requestTimeoutMs));
}

std::optional<Relay::Endpoint> RelayDaemon::readEndpoint(const Platform::Object& object)
{
    Reason reason;
    std::optional<Relay::Endpoint> endpoint = PlatformAdapter::decodeEndpoint(object.name, object.value, reason);
    if (!endpoint) {
        Core::logEvent(RelayEvents::objectIgnored, "object=" + object.name + " store_version=" + std::to_string(object.version) + " reason=\"" + reason.text() + "\"");
        return std::nullopt;
    }
    const Relay::Endpoint* known = m_endpoints.find(endpoint->id);
    std::string detail = "endpoint=" + endpoint->id + " service=" + endpoint->service + " software_version=" + endpoint->softwareVersion + " address=" + endpoint->address.text() + " store_version=" + std::to_string(object.version);
    if (!known)
        Core::logEvent(RelayEvents::endpointAdded, detail);
    if (!known || known->softwareVersion != endpoint->softwareVersion)
        m_streamOrigins.wake();
    m_softwareVersions.observe(*endpoint, Core::SteadyClock::now());
    if (endpoint->isLeaving && (!known || !known->isLeaving))
        Core::logEvent(RelayEvents::endpointLeaving, detail + " source=store");
    return endpoint;
}

void RelayDaemon::adoptEndpoint(const Platform::Object& object)
{
    std::optional<Relay::Endpoint> endpoint = readEndpoint(object);
    if (!endpoint)
        return;
    m_endpoints.put(*endpoint);
    observeColdTime(*endpoint, object.version);
    logColdNotices();
}

void RelayDaemon::observeColdTime(const Relay::Endpoint& endpoint, uint64_t version)
{
    const Relay::Endpoint* adopted = m_endpoints.find(endpoint.id);
    if (adopted && adopted->startedAtMs == endpoint.startedAtMs && adopted->address == endpoint.address)
        m_selector.cold().observe(endpoint, version, Core::SteadyClock::now());
}

void RelayDaemon::logColdNotices()
{
    for (const Relay::ColdNotice& notice : m_selector.cold().takeNotices()) {
        std::string subject = "endpoint=" + notice.endpoint + " service=" + notice.service;
        if (notice.kind == Relay::ColdNotice::Kind::Cold)
            Core::logEvent(RelayEvents::endpointCold, subject + " source=" + notice.detail);
        else
            Core::logEvent(RelayEvents::coldTimeUnreadable, subject + " reason=\"" + notice.detail + "\"");
    }
}

Relay::HandlerHooks RelayDaemon::makeHandlerHooks()
{
    Relay::HandlerHooks hooks;
    hooks.configuration = [this] { return m_configuration; };
    hooks.unservable = [this] {
        std::optional<Relay::Refusal> refusal = servingRefusal();
        return refusal ? refusal : linkRefusal();
    };
    hooks.linkDelay = [this] { return m_link.delay(Core::SteadyClock::now()); };
    hooks.refreshConfiguration = [this] { return refreshConfiguration(); };
    hooks.storeSilence = [this] { return std::chrono::milliseconds(configurationAgeMs()); };
    hooks.servesUntil = [this] { return m_servesUntil; };
    hooks.rejectEndpoint = [this](const std::string& endpoint) { m_endpoints.reject(endpoint); };
    hooks.acquirePermit = [this](std::string endpoint, double perSecond) {
        const Relay::Endpoint* known = m_endpoints.find(endpoint);
        bool isCold = known && m_selector.cold().limitOf(*known, Core::SteadyClock::now());
        double ownSharesFraction = isCold ? Relay::ColdEndpoints::ownSharesFraction : Relay::PermitService::defaultOwnSharesFraction;
        return m_permits.acquire(std::move(endpoint), perSecond, ownSharesFraction);
    };
    hooks.acquirePlace = [this](const Relay::Endpoint& endpoint, Deadline deadline) { return m_places.acquire(endpoint, deadline); };
    hooks.returnPlace = [this](const std::string& endpoint, uint64_t place, std::optional<double> maxRejections) {
        Core::spawn(m_executor, "return place", m_places.giveBack(endpoint, place, maxRejections));
    };
    addRelayHooks(hooks);
    hooks.endpointLeaves = [this](const Relay::Endpoint& endpoint, const std::string& request) {
        if (m_endpoints.markLeaving(endpoint, Core::SteadyClock::now()))
            Core::logEvent(RelayEvents::endpointLeaving, "endpoint=" + endpoint.id + " service=" + endpoint.service + " address=" + endpoint.address.text() + " source=answer request=" + request);
    };
    hooks.findOrigin = [this](std::optional<uint64_t> stream, std::string service, Deadline deadline, Reason& reason) {
        return m_streamOrigins.find(stream, std::move(service), deadline, reason);
    };
    hooks.streamBegan = [this](uint64_t stream, const Relay::StreamOrigin& origin, Deadline until) { m_streamOrigins.streamBegan(stream, origin, until); };
    hooks.streamEnded = [this](uint64_t stream, bool isComplete) { m_streamOrigins.streamEnded(stream, isComplete); };
    return hooks;
}

Relay::StreamOriginHooks RelayDaemon::makeStreamOriginHooks()
{
    Relay::StreamOriginHooks hooks;
    hooks.observe = [this](Relay::SoftwareVersions& versions) {
        Core::SteadyClock::time_point now = Core::SteadyClock::now();
        for (const auto& [id, endpoint] : m_endpoints.endpoints())
            versions.observe(endpoint, now);
    };
    hooks.isRecorder = [this] { return recordsVersions(); };
    hooks.collector = [this] { return m_watchers.watcher(); };
    hooks.handOver = [this](Core::Address collector, Relay::StreamHandover streams, Reason& reason) { return handOverStreams(std::move(collector), std::move(streams), reason); };
    return hooks;
}

bool RelayDaemon::recordsVersions() const
{
    bool knowsPeers = m_announcementFollower.hasListed() && Core::SteadyClock::now() - m_startedAt > std::chrono::milliseconds(peerDiscoveryTimeMs + announcementBatchMs);
    return knowsPeers && !m_watchers.assigneeOf(Core::hash64(Relay::StreamOriginStore::versionRecordName));
}

Core::Task<bool> RelayDaemon::refreshConfiguration()
{
    if (!m_configurationFollower.isLost() && configurationAgeMs() <= maxFollowedAgeMs)
        co_return true;
    Reason reason;
    co_return co_await m_configurationFollower.refresh(Deadline::after(refreshTimeout), reason);
}

int64_t RelayDaemon::configurationAgeMs() const
{
    return ageMs(m_configurationFollower);
}

std::optional<Relay::Refusal> RelayDaemon::servingRefusal() const
{
    if (!m_configuration || !m_endpointFollower.hasListed())
        return Relay::Refusal { 503, "not_started", "the configuration or the list of endpoints has not been read yet", retryAfterMs };
    if (m_settings.followsEvacuations() && !m_evacuationFollower.hasListed())
        return Relay::Refusal { 503, "not_started", "the list of evacuations has not been read yet", retryAfterMs };
    if (configurationAgeMs() > m_settings.outageLimitMs)
        return Relay::Refusal { 503, "stale_configuration", "the store last confirmed the configuration " + std::to_string(configurationAgeMs()) + " ms ago", retryAfterMs };
    if (m_settings.followsEvacuations() && ageMs(m_evacuationFollower) > m_settings.outageLimitMs)
        return Relay::Refusal { 503, "stale_evacuations", "the store last confirmed the list of evacuations " + std::to_string(ageMs(m_evacuationFollower)) + " ms ago", retryAfterMs };
    if (m_load.isOverloaded())
        return Relay::Refusal { 503, "host_overloaded", "this host is short of processor time; its timers fire " + std::to_string(m_load.lag().count()) + " ms late", retryAfterOverloadMs };
    return std::nullopt;
}

std::optional<Relay::Refusal> RelayDaemon::linkRefusal() const
{
    Core::SteadyClock::time_point now = Core::SteadyClock::now();
    double share = m_link.admittedShare(now);
    if (share >= 1 || static_cast<double>(Core::randomBelow(1'000)) < share * 1'000)
        return std::nullopt;
    return Relay::Refusal { 503, "link_full", "this host's link is full, connecting takes " + std::to_string(m_link.delay(now).count()) + " ms", retryAfterOverloadMs };
}

bool RelayDaemon::isReady() const
{
    return !m_isStopping && !servingRefusal() && !m_link.needsRest(Core::SteadyClock::now()) && !isCutOffFromAll();
}

Core::Task<void> RelayDaemon::handleReadiness(HTTP::Request, HTTP::ResponseWriter& writer)
{
    Reason ignored;
    co_await writer.send({ isReady() ? 200u : 503u, {}, {} }, ignored);
}

Core::Task<void> RelayDaemon::handleMetrics(HTTP::Request, HTTP::ResponseWriter& writer)
{
    Reason ignored;
    co_await writer.send({ 200, { { "Content-Type", Telemetry::Metrics::contentType } }, m_metrics.text() }, ignored);
}

Core::Task<void> RelayDaemon::expireEndpoints()
{
    while (!m_isStopping) {
        co_await Core::sleepUntil(Deadline::after(endpointExpiryInterval));
        m_endpoints.expire(Core::SteadyClock::now());
    }
}

Core::Task<void> RelayDaemon::monitorLoad()
{
    while (!m_isStopping) {
        Deadline due = Deadline::after(Relay::LoadMonitor::sampleInterval);
        co_await Core::sleepUntil(due);
        bool wasOverloaded = m_load.isOverloaded();
        m_load.record(due.at(), Core::SteadyClock::now());
        updateLinkState();
        if (m_link.needsTest(Core::SteadyClock::now()) && m_linkTestDueAt.hasPassed()) {
            m_linkTestDueAt = Deadline::after(Relay::LinkMonitor::testInterval);
            Core::spawn(m_executor, "test link", testLink());
        }
        updateReach();
        if (m_load.isOverloaded() != wasOverloaded)
            Core::logEvent(wasOverloaded ? RelayEvents::overloadEnded : RelayEvents::overloaded, "timer_lag_ms=" + std::to_string(m_load.lag().count()) + " active_requests=" + std::to_string(m_callerServer.activeRequests()));
    }
}

Core::Task<void> RelayDaemon::testLink()
{
    if (std::optional<Core::Address> peer = m_watchers.randomPeer())
        co_await m_client->testConnect(*peer, Deadline::after(Relay::LinkMonitor::testTimeout));
}

Core::Task<bool> RelayDaemon::stop()
{
    m_isStopping = true;
    Deadline limit = Deadline::after(m_settings.stopLimit() - grantReturnTime);
    Core::logEvent(RelayEvents::stopping, "active_requests=" + std::to_string(m_callerServer.activeRequests()) + " limit_ms=" + std::to_string(m_settings.stopLimit().count()));
    m_callerServer.closeAfterResponses();
    m_budgets.stopAllocating();
    co_await Core::sleepUntil(std::min(limit, Deadline::after(readinessPropagationTime)));
    m_servesUntil = limit;
    // Nothing that needs tokens starts from here on. Returning them now rather than at the end leaves time for a store that is
    // cut off or slow.
    m_budgets.stopReserving();
    // Connections are still accepted: if most daemons of a failure domain stop at the same time, the load balancer uses all of
    // them, and a refused connection tells a caller less than a refused request.
    while (m_callerServer.activeRequests() > 0 && !limit.hasPassed())
        co_await Core::sleepUntil(Deadline::after(activeRequestPollInterval));
    m_callerServer.stopAccepting();
    // Requests that had arrived by then are refused.
    do {
        co_await Core::sleepUntil(Deadline::after(activeRequestPollInterval));
    } while (m_callerServer.activeRequests() > 0 && !limit.hasPassed());
    size_t interruptedRequests = m_callerServer.activeRequests();
    m_configurationFollower.stop();
    m_endpointFollower.stop();
    m_announcementFollower.stop();
    m_suspectFollower.stop();
    m_evacuationFollower.stop();
    m_quarantineStore.stop();
    co_await m_streamOrigins.stop(Deadline::after(grantReturnTime / 4));
    m_peers.stop();
    // Before the withdrawal, after which another daemon issues permits.
    m_permits.stop();
    co_await m_budgets.returnAll(std::max(limit, Deadline::after(grantReturnTime / 2)));
    co_await m_peers.withdraw(Deadline::after(grantReturnTime / 4));
    m_peerStore.stop();
    m_budgets.stop();
    Core::logEvent(RelayEvents::stopped, "requests_cut_off=" + std::to_string(interruptedRequests));
    co_return interruptedRequests == 0;
}

void RelayDaemon::reload(const RelaySettings& settings)
{
    m_settings.outageLimitMs = settings.outageLimitMs;
    m_settings.stopLimitSeconds = settings.stopLimitSeconds;
    Core::logEvent(RelayEvents::reloaded, "outage_limit_ms=" + std::to_string(settings.outageLimitMs) + " stop_limit_ms=" + std::to_string(settings.stopLimit().count()));
}
