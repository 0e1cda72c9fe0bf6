#include "Daemon.h"

#include "ClientMetrics.h"
#include "LibCore/EventLog.h"
#include "LibMembership/Registry.h"
#include "ProcessLimits.h"

using Core::SteadyClock;

static constexpr Core::Event daemonStarted { 2001, Core::Severity::Info, "daemon_started" };
static constexpr Core::Event intentAdopted { 2002, Core::Severity::Info, "intent_adopted" };
static constexpr Core::Event drainStarted { 2003, Core::Severity::Info, "drain_started" };
static constexpr Core::Event drainFinished { 2004, Core::Severity::Info, "drain_finished" };
static constexpr Core::Event drainCutOff { 2005, Core::Severity::Warning, "drain_cut_off" };

static constexpr Core::Event witnessMissing { 2008, Core::Severity::Warning, "witness_missing" };

static constexpr std::chrono::seconds startTimeout(20);
static constexpr std::chrono::milliseconds incarnationTimeout(1000);
static constexpr std::chrono::milliseconds drainPollInterval(20);
static constexpr std::chrono::seconds idleShardTimeout(60);
static constexpr std::chrono::seconds leaveTimeout(2);
static constexpr std::chrono::milliseconds ledgerOpenTimeout(3000);
static constexpr std::chrono::milliseconds witnessCloseTimeout(2000);

static Peer::Settings peerSettings(const Settings& settings, uint64_t incarnation)
{
    Peer::Settings peer;
    peer.self = { settings.host, incarnation, settings.failureDomain };
    peer.listenAddress = settings.peerAddress;
    peer.key = settings.peerKey;
    peer.certificateFile = settings.certificateFile;
    peer.privateKeyFile = settings.privateKeyFile;
    peer.authorityFile = settings.authorityFile;
    return peer;
}

static Membership::Member selfMember(const Settings& settings, uint64_t incarnation)
{
    Membership::Member self;
    self.host = settings.host;
    self.incarnation = incarnation;
    self.failureDomain = settings.failureDomain;
    self.region = settings.region;
    return self;
}

static Intent::FreshnessLimits freshnessLimits(const Settings& settings)
{
    Intent::FreshnessLimits limits;
    limits.isolated = std::chrono::milliseconds(settings.isolatedLimitMs);
    limits.outage = std::chrono::milliseconds(settings.outageLimitMs);
    return limits;
}

Daemon::Daemon(const boost::asio::any_io_executor& executor, Settings settings, uint64_t incarnation, Telemetry::Tracer& tracer)
    : m_executor(executor)
    , m_settings(std::move(settings))
    , m_self { m_settings.host, incarnation }
    , m_tracer(tracer)
    , m_client(std::make_shared<HTTP::Client>(executor))
    , m_platform(makePlatformStore())
    , m_freshness(m_settings.failureDomain, freshnessLimits(m_settings))
    , m_network(executor, peerSettings(m_settings, m_self.incarnation))
    , m_membership(executor, selfMember(m_settings, m_self.incarnation), m_settings.seedPeers, m_network, m_platform, m_freshness, makeMembershipHooks())
    , m_intent(executor, m_network, m_platform, m_freshness, makeIntentHooks())
    , m_witnessService(m_network, m_records)
    , m_witness(executor, m_network, m_records, { m_settings.host, m_self.incarnation, m_settings.failureDomain }, makeWitnessHooks())
    , m_ledger(executor, m_platform, m_settings.shardCount, m_self, makeWriterSettings())
    , m_gateway(m_settings.host, m_network, m_ledger.submit(), [this] { return m_membership.live(); })
    , m_accounts(executor, m_self, m_settings.shardCount, makeSubmit(), makeAccountSettings())
    , m_bills(executor, m_settings.shardCount, makeSubmit(), makeBillSettings())
    , m_topUps(executor, m_gateway, m_settings.shardCount, [this] { return m_intent.state(); })
    , m_engines(*m_client)
    , m_services(*m_client)
    , m_settler(m_records, makeSettlerHooks())
    , m_recovery(m_settings.host, m_settings.shardCount, m_network, makeRecoveryHooks())
    , m_routes(executor, m_settings.host, m_network, m_engines, makeRouteHooks())
    , m_callerHooks(m_metrics.instrument(makeCallerHooks()))
    , m_chat(executor, m_callerHooks, m_engines)
    , m_serviceCalls(executor, m_callerHooks, m_services)
    , m_callerApi(
          m_callerHooks, m_chat, m_serviceCalls,
          [this] { return m_isReady; },
          [this] { return m_metrics.registry().text(); })
    , m_operatorApi(makeOperatorSettings(), makeOperatorHooks())
    , m_callerServer(executor, [this](HTTP::Request request, HTTP::ResponseWriter& writer) { return m_callerApi.handle(std::move(request), writer); })
    , m_operatorServer(executor, [this](HTTP::Request request, HTTP::ResponseWriter& writer) { return handleOperator(std::move(request), writer); })
{
    m_callerServer.setCapacity(ProcessLimits::callerCapacity(m_settings.memoryMb, m_settings.descriptorLimit));
    m_operatorServer.setCapacity(ProcessLimits::operatorCapacity(m_settings.memoryMb, m_settings.descriptorLimit));
    registerClientMetrics(m_metrics.registry(), "callers", m_callerServer);
    registerClientMetrics(m_metrics.registry(), "operators", m_operatorServer);
    registerMetrics();
}

Core::Task<uint64_t> Daemon::chooseIncarnation(const boost::asio::any_io_executor& executor, const Settings& settings)
{
    Platform::HttpObjectStore platform(std::make_shared<HTTP::Client>(executor), settings.platformAddress, settings.host);
    Membership::Registry registry(platform.hooks());
    uint64_t incarnation = Membership::Registry::systemMicroseconds();
    Core::Reason ignored;
    // If the platform does not respond, the clock is used; registration checks the incarnation once the platform is back.
    std::optional<std::vector<Membership::Member>> members = co_await registry.list(Core::Deadline::after(incarnationTimeout), ignored);
    for (size_t i = 0; members && i < members->size(); ++i) {
        if ((*members)[i].host == settings.host)
            incarnation = std::max(incarnation, (*members)[i].incarnation + 1);
    }
    co_return incarnation;
}

std::optional<Caller::Refusal> Daemon::admission() const
{
    if (m_isDraining)
        return Caller::Refusal { "draining", 503, Caller::ExecutionStatus::NotRun, "admit", m_settings.host, "the daemon is shutting down", 100 };
    // Other daemons release the grants of a withdrawn host, so its own daemon must not spend them.
    if (m_intent.state() && m_intent.state()->withdrawnHosts.contains(m_settings.host))
        return Caller::Refusal { "host_withdrawn", 503, Caller::ExecutionStatus::NotRun, "admit", m_settings.host, "an operator has withdrawn this host", 0 };
    SteadyClock::time_point now = SteadyClock::now();
    if (!m_intent.state() || !m_freshness.mayDispatch(now))
        return Caller::Refusal { "stale_intent", 503, Caller::ExecutionStatus::NotRun, "admit", m_settings.host, m_freshness.reason(now), 1000 };
    return std::nullopt;
}

Core::Task<bool> Daemon::submitEntry(Ledger::Entry entry, Core::Deadline deadline, Core::Reason& reason)
{
    uint32_t shard = Ledger::shardOf(Ledger::budgetOf(entry), m_settings.shardCount);
    std::vector<Ledger::Entry> entries { std::move(entry) };
    std::optional<std::vector<Ledger::EntryResult>> results = co_await m_gateway.submit(shard, std::move(entries), deadline, reason);
    if (!results)
        co_return false;
    Ledger::ResultCode code = results->front().code;
    if (code == Ledger::ResultCode::Applied || code == Ledger::ResultCode::Duplicate)
        co_return true;
    reason = { Core::FailureKind::Refused, "record attempt", "ledger", "the ledger rejected the entry" };
    co_return false;
}

Core::Task<std::optional<Caller::Hooks::OpenResult>> Daemon::openAttempt(Witness::Record record, bool mayBeRetry, Core::Deadline deadline, Core::Reason& reason)
{
    Witness::IdentityKind kind = mayBeRetry ? Witness::IdentityKind::IdempotencyKey : Witness::IdentityKind::Random;
    std::optional<Witness::OpenResult> opened = co_await m_witness.open(record, deadline, reason, kind);
    if (opened)
        co_return Caller::Hooks::OpenResult { std::move(opened->existing) };
    // No witness is available, so the attempt is recorded in the ledger.
    Core::logEvent(witnessMissing, "open " + record.attemptId + ": " + reason.text());
    Ledger::OpenAttempt entry { record.attemptId, record.requestId, record.budget, record.owner, record.tokensHeld, record.endpoint };
    Core::Deadline limit = std::min(deadline, Core::Deadline::after(ledgerOpenTimeout));
    if (!co_await submitEntry(std::move(entry), limit, reason))
        co_return std::nullopt;
    co_return Caller::Hooks::OpenResult {};
}

Core::Task<bool> Daemon::closeAttempt(Ledger::Usage usage, Core::Deadline deadline, Core::Reason& reason)
{
    Core::Deadline witnessLimit = std::min(deadline, Core::Deadline::after(witnessCloseTimeout));
    if (co_await m_witness.close(usage.attemptId, usage, witnessLimit, reason))
        co_return true;
    Core::logEvent(witnessMissing, "close " + usage.attemptId + ": " + reason.text());
    co_return co_await submitEntry(std::move(usage), deadline, reason);
}

Witness::OwnerState Daemon::ownerState(const Ledger::Holder& holder) const
{
    std::shared_ptr<const Intent::FleetState> state = m_intent.state();
    if (state && state->withdrawnHosts.contains(holder.host))
        return Witness::OwnerState::ConfirmedDead;
    for (const Membership::Member& member : m_membership.all()) {
        if (member.host != holder.host)
            continue;
        if (member.incarnation > holder.incarnation)
            return Witness::OwnerState::ConfirmedDead;
        bool isReachable = member.state == Membership::MemberState::Alive || member.state == Membership::MemberState::Draining;
        return isReachable ? Witness::OwnerState::Alive : Witness::OwnerState::Unreachable;
    }
    return Witness::OwnerState::Unreachable;
}

Core::Task<std::optional<Ledger::Tokens>> Daemon::cancelStream(std::string endpoint, std::string streamId, Core::Deadline deadline, Core::Reason& reason)
{
    std::shared_ptr<const Intent::FleetState> state = m_intent.state();
    std::map<std::string, Intent::Service>::const_iterator service = state->services.find(endpoint);
    // An interrupted call of a repeatable service is charged its full price, since it may have run.
    if (service != state->services.end())
        co_return service->second.priceTokens;
    std::map<std::string, Core::Address>::const_iterator address = m_endpointAddresses.find(endpoint);
    if (address == m_endpointAddresses.end()) {
        reason = { Core::FailureKind::Unavailable, "cancel stream", endpoint, "the address of the endpoint is unknown" };
        co_return std::nullopt;
    }
    std::optional<Endpoint::UsageCount> count = co_await m_engines.cancel(address->second, std::move(streamId), deadline, reason);
    if (!count)
        co_return std::nullopt;
    co_return count->total();
}

void Daemon::intentChanged(std::shared_ptr<const Intent::FleetState> state)
{
    Core::logEvent(intentAdopted, "generation " + std::to_string(state->generation) + " is in force");
    m_membership.setGeneration(state->generation);
    for (const std::pair<const std::string, Intent::Endpoint>& endpoint : state->endpoints)
        m_endpointAddresses.insert_or_assign(endpoint.first, endpoint.second.address);
    m_routes.stateChanged(*state);
    m_topUps.stateChanged();
}

Core::Task<bool> Daemon::start(Core::Reason& reason)
{
    m_membership.serve();
    m_intent.serve();
    m_gateway.serve();
    m_routes.serve();
    serveRecalls();
    std::optional<Core::Address> peer = m_network.listen(reason);
    if (!peer)
        co_return false;
    std::optional<Core::Address> caller = m_callerServer.listen(m_settings.callerAddress, reason);
    if (!caller)
        co_return false;
    std::optional<Core::Address> operatorApi = m_operatorServer.listen(m_settings.operatorAddress, reason);
    if (!operatorApi)
        co_return false;
    m_addresses = { *caller, *peer, *operatorApi };
    Core::Deadline deadline = Core::Deadline::after(startTimeout);
    if (!co_await m_membership.join(*caller, *peer, deadline, reason))
        co_return false;
    if (!co_await m_intent.start(deadline, reason))
        co_return false;
    startTasks();
    m_isReady = true;
    Core::logEvent(daemonStarted, m_self.text() + " " + addressLine());
    co_return true;
}

void Daemon::startTasks()
{
    if (!m_settings.traceFile.empty())
        Core::spawn(m_executor, "tracer", m_tracer.run());
    Core::spawn(m_executor, "membership", m_membership.run());
    Core::spawn(m_executor, "intent", m_intent.run());
    Core::spawn(m_executor, "accounts", m_accounts.run());
    Core::spawn(m_executor, "bills", m_bills.run());
    Core::spawn(m_executor, "top-ups", m_topUps.run());
    Core::spawn(m_executor, "routes", m_routes.run());
    Core::spawn(m_executor, "witness", m_witness.run());
    Core::spawn(m_executor, "settler", m_settler.run());
    Core::spawn(m_executor, "recovery", m_recovery.run());
    Core::spawn(m_executor, "idle shards", dropIdleShards());
}

Core::Task<void> Daemon::dropIdleShards()
{
    while (!m_isDraining) {
        co_await Core::sleepUntil(Core::Deadline::after(idleShardTimeout));
        m_ledger.closeIdleShards(SteadyClock::now() - idleShardTimeout);
    }
}

std::string Daemon::addressLine() const
{
    return "listening caller=" + m_addresses.caller.text() + " peer=" + m_addresses.peer.text() + " operator=" + m_addresses.operatorApi.text();
}

Core::Task<bool> Daemon::waitUntilIdle(Core::Deadline deadline, const char* what, std::function<size_t()> remaining, Core::Reason& reason)
{
    while (remaining() > 0) {
        if (m_isDrainAborted || deadline.hasPassed()) {
            reason = { Core::FailureKind::TimedOut, "drain", m_settings.host, std::to_string(remaining()) + " " + what };
            Core::logEvent(drainCutOff, reason.text());
            co_return false;
        }
        co_await Core::sleepUntil(Core::Deadline::after(drainPollInterval));
    }
    co_return true;
}

// Repeats the submission because other daemons may close usages here meanwhile. The record store accepts no new records while
// draining, so this ends.
Core::Task<bool> Daemon::submitRecords(Core::Deadline deadline, Core::Reason& reason)
{
    while (!co_await m_settler.submitAll()) {
        if (m_isDrainAborted || deadline.hasPassed()) {
            reason = { Core::FailureKind::TimedOut, "drain", m_settings.host, "usages recorded for other daemons were not submitted" };
            Core::logEvent(drainCutOff, reason.text());
            co_return false;
        }
        co_await Core::sleepUntil(Core::Deadline::after(drainPollInterval));
    }
    co_return true;
}

Core::Task<bool> Daemon::drain(Core::Reason& reason)
{
    Core::logEvent(drainStarted, m_self.text());
    m_isReady = false;
    m_membership.setState(Membership::MemberState::Draining);
    Core::Deadline deadline = Core::Deadline::after(std::chrono::milliseconds(m_settings.drainLimitMs));
    Core::Deadline readinessDeadline = std::min(deadline, Core::Deadline::after(std::chrono::milliseconds(m_settings.readinessDelayMs)));
    while (!m_isDrainAborted && !readinessDeadline.hasPassed())
        co_await Core::sleepUntil(Core::Deadline::after(drainPollInterval));
    m_isDraining = true;
    m_records.startDraining();
    bool isComplete = co_await waitUntilIdle(
        deadline, "requests still in progress", [this] { return m_callerServer.activeRequests(); }, reason);
    m_callerServer.stopAccepting();
    isComplete &= co_await waitUntilIdle(
        deadline, "attempts still unresolved", [this] { return m_chat.unresolvedAttempts() + m_serviceCalls.pendingOutcomes(); }, reason);
    isComplete &= co_await m_bills.flushAll(deadline, reason);
    isComplete &= co_await m_accounts.returnAll(deadline, reason);
    isComplete &= co_await submitRecords(deadline, reason);
    m_settler.stop();
    m_recovery.stop();
    m_witness.stop();
    m_accounts.stop();
    m_bills.stop();
    m_topUps.stop();
    m_routes.stop();
    m_intent.stop();
    m_membership.stop();
    co_await m_membership.leave(Core::Deadline::after(leaveTimeout));
    m_tracer.stop();
    co_await m_tracer.flush(Core::Deadline::after(leaveTimeout));
    Core::logEvent(drainFinished, isComplete ? "completed without interruption" : reason.text());
    m_operatorServer.closeAll();
    m_network.close();
    co_return isComplete;
}
