#include "Daemon.h"

#include "LibCore/EventLog.h"
#include "LibCore/Hash.h"
#include "LibMembership/Registry.h"
#include <nlohmann/json.hpp>

using Core::SteadyClock;

static const char* const recallType = "recall";

static constexpr Core::Event daemonStarted { 2001, Core::Severity::Info, "daemon_started" };
static constexpr Core::Event intentAdopted { 2002, Core::Severity::Info, "intent_adopted" };
static constexpr Core::Event drainStarted { 2003, Core::Severity::Info, "drain_started" };
static constexpr Core::Event drainFinished { 2004, Core::Severity::Info, "drain_finished" };
static constexpr Core::Event drainCutOff { 2005, Core::Severity::Warning, "drain_cut_off" };
static constexpr Core::Event requestRefused { 2006, Core::Severity::Debug, "request_refused" };
static constexpr Core::Event billRefused { 2007, Core::Severity::Error, "bill_refused" };

static constexpr Core::Event witnessMissing { 2008, Core::Severity::Warning, "witness_missing" };

static constexpr std::chrono::seconds startTimeout(20);
static constexpr std::chrono::milliseconds incarnationTimeout(1000);
static constexpr std::chrono::milliseconds drainPoll(20);
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

Daemon::Daemon(const boost::asio::any_io_executor& executor, Settings settings, uint64_t incarnation)
    : m_executor(executor)
    , m_settings(std::move(settings))
    , m_self { m_settings.host, incarnation }
    , m_client(std::make_shared<HTTP::Client>(executor))
    , m_platform(m_client, m_settings.platformAddress, m_settings.host)
    , m_freshness(m_settings.failureDomain, freshnessLimits(m_settings))
    , m_network(executor, peerSettings(m_settings, m_self.incarnation))
    , m_membership(executor, selfMember(m_settings, m_self.incarnation), m_settings.seedPeers, m_network, m_platform.hooks(), m_freshness, makeMembershipHooks())
    , m_intent(executor, m_network, m_platform.hooks(), m_freshness, makeIntentHooks())
    , m_witnessService(m_network, m_records)
    , m_witness(executor, m_network, m_records, { m_settings.host, m_self.incarnation, m_settings.failureDomain }, makeWitnessHooks())
    , m_ledger(executor, m_platform.hooks(), m_settings.shardCount, m_self, makeWriterSettings())
    , m_gateway(m_settings.host, m_network, m_ledger.submit(), [this] { return m_membership.live(); })
    , m_accounts(executor, m_self, m_settings.shardCount, makeSubmit(), makeAccountSettings())
    , m_bills(executor, m_settings.shardCount, makeSubmit(), makeBillSettings())
    , m_topUps(executor, m_gateway, m_settings.shardCount, [this] { return m_intent.state(); })
    , m_engines(*m_client)
    , m_services(*m_client)
    , m_settler(m_records, makeSettlerHooks())
    , m_recovery(m_settings.host, m_settings.shardCount, m_network, makeRecoveryHooks())
    , m_routes(executor, m_settings.host, m_network, m_engines, makeRouteHooks())
    , m_callerHooks(makeCallerHooks())
    , m_chat(executor, m_callerHooks, m_engines)
    , m_serviceCalls(executor, m_callerHooks, m_services)
    , m_callerApi(
          m_callerHooks, m_chat, m_serviceCalls,
          [this] { return m_isReady; },
          [] { return std::string(); },
          [](const Caller::Refusal& refusal) { Core::logEvent(requestRefused, refusal.json()); })
    , m_callerServer(executor, [this](HTTP::Request request, HTTP::ResponseWriter& writer) { return m_callerApi.handle(std::move(request), writer); })
    , m_operatorServer(executor, [this](HTTP::Request request, HTTP::ResponseWriter& writer) { return handleOperator(std::move(request), writer); })
{
}

Ledger::Submit Daemon::makeSubmit()
{
    return [this](uint32_t shard, std::vector<Ledger::Entry> entries, Core::Deadline deadline, Core::Reason& reason) {
        return m_gateway.submit(shard, std::move(entries), deadline, reason);
    };
}

Budget::BillSettings Daemon::makeBillSettings()
{
    Budget::BillSettings bills;
    bills.onFlushed = [this](std::vector<std::string> attemptIds) { m_witness.flushed(attemptIds); };
    bills.onRefused = [](const Ledger::Usage& usage) {
        Core::logEvent(billRefused, "attempt " + usage.attemptId + " of budget " + usage.budget.text() + " with " + std::to_string(usage.tokens) + " tokens");
    };
    return bills;
}

Core::Task<uint64_t> Daemon::chooseIncarnation(const boost::asio::any_io_executor& executor, const Settings& settings)
{
    Platform::HttpObjectStore platform(std::make_shared<HTTP::Client>(executor), settings.platformAddress, settings.host);
    Membership::Registry registry(platform.hooks());
    uint64_t incarnation = Membership::Registry::systemMicroseconds();
    Core::Reason ignored;
    // Without an answer the clock decides; registration checks again once the platform is back.
    std::optional<std::vector<Membership::Member>> members = co_await registry.list(Core::Deadline::after(incarnationTimeout), ignored);
    for (size_t i = 0; members && i < members->size(); ++i) {
        if ((*members)[i].host == settings.host)
            incarnation = std::max(incarnation, (*members)[i].incarnation + 1);
    }
    co_return incarnation;
}

MembershipService::Hooks Daemon::makeMembershipHooks()
{
    MembershipService::Hooks hooks;
    hooks.memberChanged = [this](const Membership::Member& member) { m_recovery.memberChanged(member); };
    hooks.incarnationSuperseded = [this](const std::string& host, uint64_t older, uint64_t) { m_recovery.superseded(host, older); };
    hooks.generationHeard = [this](uint64_t generation) { m_intent.follower().generationHeard(generation); };
    return hooks;
}

IntentService::Hooks Daemon::makeIntentHooks()
{
    IntentService::Hooks hooks;
    hooks.peers = [this] { return m_membership.linkedPeers(); };
    hooks.holdsWatch = [this] { return m_membership.holdsWatch(static_cast<size_t>(m_settings.watchersPerFailureDomain)); };
    hooks.stateChanged = [this](std::shared_ptr<const Intent::FleetState> state) { intentChanged(std::move(state)); };
    return hooks;
}

RouteService::Hooks Daemon::makeRouteHooks()
{
    RouteService::Hooks hooks;
    hooks.state = [this] { return m_intent.state(); };
    hooks.domainMembers = [this] { return m_membership.domainMembers(); };
    return hooks;
}

Ledger::WriterSettings Daemon::makeWriterSettings()
{
    Ledger::WriterSettings writer;
    writer.gatherTime = std::chrono::milliseconds(m_settings.commitGatherMs);
    writer.recallNeeded = [this](const Ledger::BudgetId& budget, const std::vector<Ledger::Holder>& holders) { recallGrants(budget, holders); };
    return writer;
}

Budget::AccountSettings Daemon::makeAccountSettings()
{
    Budget::AccountSettings accounts;
    accounts.grantIdle = std::chrono::milliseconds(m_settings.grantIdleMs);
    accounts.policy = [this](const Budget::GrantNeed& need) {
        Budget::GrantPolicySettings policy;
        std::shared_ptr<const Intent::FleetState> state = m_intent.state();
        std::map<std::string, Intent::Workspace>::const_iterator workspace = state->workspaces.find(need.budget.workspace);
        if (workspace != state->workspaces.end())
            policy.share = workspace->second.grantSharePercent / 100.0;
        return Budget::defaultGrantPolicy(policy)(need);
    };
    return accounts;
}

// The body of a recall is the workspace, a line break, and the budget's name.
void Daemon::serveRecalls()
{
    m_network.onNotice(recallType, [this](const Peer::Identity&, std::string body) {
        size_t separator = body.find('\n');
        if (separator != std::string::npos)
            m_accounts.recall({ body.substr(0, separator), body.substr(separator + 1) });
    });
}

void Daemon::recallGrants(const Ledger::BudgetId& budget, const std::vector<Ledger::Holder>& holders)
{
    std::shared_ptr<const Intent::FleetState> state = m_intent.state();
    std::map<std::string, Intent::Workspace>::const_iterator workspace = state->workspaces.find(budget.workspace);
    if (workspace != state->workspaces.end() && !workspace->second.recallGrants)
        return;
    for (const Ledger::Holder& holder : holders) {
        if (holder == m_self)
            m_accounts.recall(budget);
        for (const Membership::Member& member : m_membership.live()) {
            if (member.host == holder.host && member.incarnation == holder.incarnation && holder != m_self)
                m_network.notify(member.peerAddress, recallType, budget.workspace + "\n" + budget.budget);
        }
    }
}

HolderRecovery::Hooks Daemon::makeRecoveryHooks()
{
    HolderRecovery::Hooks hooks;
    hooks.live = [this] { return m_membership.live(); };
    hooks.ownerState = [this](const Ledger::Holder& holder) { return ownerState(holder); };
    hooks.ownRecords = [this](const Ledger::Holder& holder) { return m_records.recordsOf(holder).size(); };
    hooks.audit = [this](uint32_t shard, Core::Deadline deadline, Core::Reason& reason) { return m_ledger.audit(shard, deadline, reason); };
    hooks.submit = makeSubmit();
    hooks.cancelStream = [this](std::string endpoint, std::string streamId, Core::Deadline deadline, Core::Reason& reason) {
        return cancelStream(std::move(endpoint), std::move(streamId), deadline, reason);
    };
    return hooks;
}

Core::Task<void> Daemon::handleOperator(HTTP::Request request, HTTP::ResponseWriter& writer)
{
    Core::Reason ignored;
    if (HTTP::pathOf(request.target) == "/operator/faults") {
        co_await writer.send(replaceFaults(request), ignored);
        co_return;
    }
    co_await writer.send({ 404, { { "Content-Type", "application/json" } }, R"({"error":{"code":"not_found"}})" }, ignored);
}

// A switch for tests of partitions; refused unless the settings allow it.
HTTP::Response Daemon::replaceFaults(const HTTP::Request& request)
{
    std::string key = HTTP::findHeader(request.headers, "Authorization").value_or("");
    bool isOperator = key.starts_with("Bearer ") && Core::constantTimeEqual(Core::sha256Hex(key.substr(7)), m_settings.operatorKeySha256);
    if (!isOperator || !m_settings.faultSwitches)
        return { 403, { { "Content-Type", "application/json" } }, R"({"error":{"code":"forbidden"}})" };
    nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
    std::vector<std::string> hosts;
    if (!body.is_object() || !body.contains("blocked_hosts") || !body["blocked_hosts"].is_array())
        return { 400, { { "Content-Type", "application/json" } }, R"({"error":{"code":"bad_request"}})" };
    for (const nlohmann::json& host : body["blocked_hosts"]) {
        if (host.is_string())
            hosts.push_back(host.get<std::string>());
    }
    m_network.setBlockedHosts(std::move(hosts));
    return { 200, { { "Content-Type", "application/json" } }, "{}" };
}

Caller::Hooks Daemon::makeCallerHooks()
{
    Caller::Hooks hooks;
    hooks.self = m_self;
    hooks.shardCount = m_settings.shardCount;
    hooks.state = [this] { return m_intent.state(); };
    hooks.admission = [this] { return admission(); };
    hooks.acquire = [this](Ledger::BudgetId budget, Ledger::Tokens tokens, Core::Deadline deadline, Core::Reason& reason) -> Core::Task<std::optional<Caller::Hold>> {
        std::optional<Budget::Hold> hold = co_await m_accounts.acquire(std::move(budget), tokens, deadline, reason);
        if (!hold)
            co_return std::nullopt;
        co_return Caller::Hold { hold->budget, hold->tokens };
    };
    hooks.settle = [this](const Caller::Hold& hold, Ledger::Tokens used) { m_accounts.settle({ hold.budget, hold.tokens }, used); };
    hooks.release = [this](const Caller::Hold& hold) { m_accounts.release({ hold.budget, hold.tokens }); };
    hooks.openAttempt = [this](Witness::Record record, bool mayBeRetry, Core::Deadline deadline, Core::Reason& reason) {
        return openAttempt(std::move(record), mayBeRetry, deadline, reason);
    };
    hooks.findAttempt = [this](std::string requestId, Core::Deadline joinUntil, Core::Deadline deadline) {
        return m_witness.find(std::move(requestId), joinUntil, deadline);
    };
    hooks.closeAttempt = [this](Ledger::Usage usage, Core::Deadline deadline, Core::Reason& reason) { return closeAttempt(std::move(usage), deadline, reason); };
    hooks.forgetAttempt = [this](const std::string& attemptId) { m_witness.flushed({ attemptId }); };
    hooks.leaveAttempt = [this](const std::string& attemptId) { m_witness.leave(attemptId); };
    hooks.isJoined = [this](std::string attemptId, Core::Deadline deadline) { return m_witness.isJoined(std::move(attemptId), deadline); };
    hooks.bill = [this](Ledger::Usage usage) { m_bills.add(std::move(usage)); };
    hooks.choose = [this](Caller::RouteQuery query, Core::Deadline deadline, Core::Reason& reason) { return m_routes.choose(std::move(query), deadline, reason); };
    hooks.routeDone = [this](const Caller::Route& route, Caller::RouteResult result) { m_routes.done(route, result); };
    hooks.submit = makeSubmit();
    return hooks;
}

std::optional<Caller::Refusal> Daemon::admission() const
{
    if (m_isDraining)
        return Caller::Refusal { "draining", 503, Caller::Ran::NotRun, "admit", m_settings.host, "this daemon is shutting down", 100 };
    SteadyClock::time_point now = SteadyClock::now();
    if (!m_intent.state() || !m_freshness.mayDispatch(now))
        return Caller::Refusal { "stale_intent", 503, Caller::Ran::NotRun, "admit", m_settings.host, m_freshness.reason(now), 1000 };
    return std::nullopt;
}

Core::Task<bool> Daemon::submitOne(Ledger::Entry entry, Core::Deadline deadline, Core::Reason& reason)
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

Core::Task<std::optional<Caller::Hooks::Opened>> Daemon::openAttempt(Witness::Record record, bool mayBeRetry, Core::Deadline deadline, Core::Reason& reason)
{
    Witness::IdentityKind kind = mayBeRetry ? Witness::IdentityKind::IdempotencyKey : Witness::IdentityKind::Random;
    std::optional<Witness::OpenResult> opened = co_await m_witness.open(record, deadline, reason, kind);
    if (opened)
        co_return Caller::Hooks::Opened { std::move(opened->existing) };
    // Without a witness the record goes to the ledger.
    Core::logEvent(witnessMissing, "open " + record.attemptId + ": " + reason.text());
    Ledger::OpenAttempt entry { record.attemptId, record.requestId, record.budget, record.owner, record.tokensHeld, record.endpoint };
    Core::Deadline limit = std::min(deadline, Core::Deadline::after(ledgerOpenTimeout));
    if (!co_await submitOne(std::move(entry), limit, reason))
        co_return std::nullopt;
    co_return Caller::Hooks::Opened {};
}

Core::Task<bool> Daemon::closeAttempt(Ledger::Usage usage, Core::Deadline deadline, Core::Reason& reason)
{
    Core::Deadline witnessLimit = std::min(deadline, Core::Deadline::after(witnessCloseTimeout));
    if (co_await m_witness.close(usage.attemptId, usage, witnessLimit, reason))
        co_return true;
    Core::logEvent(witnessMissing, "close " + usage.attemptId + ": " + reason.text());
    co_return co_await submitOne(std::move(usage), deadline, reason);
}

Witness::WitnessClient::Hooks Daemon::makeWitnessHooks()
{
    Witness::WitnessClient::Hooks hooks;
    hooks.members = [this] { return m_membership.all(); };
    hooks.order = [](std::string_view key, std::vector<Membership::Member> members) { return Membership::rendezvousOrder(key, std::move(members)); };
    return hooks;
}

Witness::Settler::Hooks Daemon::makeSettlerHooks()
{
    Witness::Settler::Hooks hooks;
    hooks.ownerState = [this](const Ledger::Holder& holder) { return ownerState(holder); };
    hooks.cancelStream = [this](std::string endpoint, std::string streamId, Core::Deadline deadline, Core::Reason& reason) {
        return cancelStream(std::move(endpoint), std::move(streamId), deadline, reason);
    };
    hooks.shardOf = [this](const Ledger::BudgetId& budget) { return Ledger::shardOf(budget, m_settings.shardCount); };
    hooks.submit = makeSubmit();
    hooks.now = [] {
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    };
    return hooks;
}

Witness::OwnerState Daemon::ownerState(const Ledger::Holder& holder) const
{
    std::shared_ptr<const Intent::FleetState> state = m_intent.state();
    if (state && state->withdrawnHosts.contains(holder.host))
        return Witness::OwnerState::ProvedDead;
    for (const Membership::Member& member : m_membership.all()) {
        if (member.host != holder.host)
            continue;
        if (member.incarnation > holder.incarnation)
            return Witness::OwnerState::ProvedDead;
        bool isHeard = member.state == Membership::MemberState::Alive || member.state == Membership::MemberState::Draining;
        return isHeard ? Witness::OwnerState::Present : Witness::OwnerState::Disappeared;
    }
    return Witness::OwnerState::Disappeared;
}

Core::Task<std::optional<Ledger::Tokens>> Daemon::cancelStream(std::string endpoint, std::string streamId, Core::Deadline deadline, Core::Reason& reason)
{
    std::shared_ptr<const Intent::FleetState> state = m_intent.state();
    std::map<std::string, Intent::Service>::const_iterator service = state->services.find(endpoint);
    // A repeatable call that broke off: its price is charged, since it may have run.
    if (service != state->services.end())
        co_return service->second.priceTokens;
    std::map<std::string, Core::Address>::const_iterator address = m_endpointAddresses.find(endpoint);
    if (address == m_endpointAddresses.end()) {
        reason = { Core::FailureKind::Unavailable, "cancel stream", endpoint, "the endpoint's address is not known" };
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
    std::optional<Core::Address> controller = m_operatorServer.listen(m_settings.operatorAddress, reason);
    if (!controller)
        co_return false;
    m_addresses = { *caller, *peer, *controller };
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
    Core::spawn(m_executor, "membership", m_membership.run());
    Core::spawn(m_executor, "intent", m_intent.run());
    Core::spawn(m_executor, "accounts", m_accounts.run());
    Core::spawn(m_executor, "bills", m_bills.run());
    Core::spawn(m_executor, "top-ups", m_topUps.run());
    Core::spawn(m_executor, "routes", m_routes.run());
    Core::spawn(m_executor, "witness", m_witness.run());
    Core::spawn(m_executor, "settler", m_settler.run());
    Core::spawn(m_executor, "recovery", m_recovery.run());
}

std::string Daemon::addressLine() const
{
    return "listening caller=" + m_addresses.caller.text() + " peer=" + m_addresses.peer.text() + " operator=" + m_addresses.controller.text();
}

Core::Task<bool> Daemon::waitUntilIdle(Core::Deadline deadline, const char* what, std::function<size_t()> remaining, Core::Reason& reason)
{
    while (remaining() > 0) {
        if (m_isHurried || deadline.hasPassed()) {
            reason = { Core::FailureKind::TimedOut, "drain", m_settings.host, std::to_string(remaining()) + " " + what };
            Core::logEvent(drainCutOff, reason.text());
            co_return false;
        }
        co_await Core::sleepUntil(Core::Deadline::after(drainPoll));
    }
    co_return true;
}

Core::Task<bool> Daemon::drain(Core::Reason& reason)
{
    Core::logEvent(drainStarted, m_self.text());
    m_isReady = false;
    m_membership.setState(Membership::MemberState::Draining);
    Core::Deadline deadline = Core::Deadline::after(std::chrono::milliseconds(m_settings.drainLimitMs));
    Core::Deadline noticed = std::min(deadline, Core::Deadline::after(std::chrono::milliseconds(m_settings.readinessDelayMs)));
    while (!m_isHurried && !noticed.hasPassed())
        co_await Core::sleepUntil(Core::Deadline::after(drainPoll));
    m_isDraining = true;
    bool isComplete = co_await waitUntilIdle(
        deadline, "requests were cut off", [this] { return m_callerServer.activeRequests(); }, reason);
    m_callerServer.stopAccepting();
    isComplete &= co_await waitUntilIdle(
        deadline, "attempts were left unresolved", [this] { return m_chat.unresolvedAttempts() + m_serviceCalls.pendingOutcomes(); }, reason);
    isComplete &= co_await m_bills.flushAll(deadline, reason);
    isComplete &= co_await m_accounts.returnAll(deadline, reason);
    m_records.startDraining();
    isComplete &= co_await m_settler.submitAll();
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
    Core::logEvent(drainFinished, isComplete ? "everything was handed over" : reason.text());
    m_operatorServer.closeAll();
    m_network.close();
    co_return isComplete;
}
