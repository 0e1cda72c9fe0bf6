#include "Daemon.h"
#include "LibCore/EventLog.h"
#include "LibPlatform/HttpObjectStore.h"
#include "TracedStore.h"

// Hooks that connect the components of the daemon.

static constexpr Core::Event billRefused { 2007, Core::Severity::Error, "bill_refused" };
static constexpr Core::Event requestRefused { 2006, Core::Severity::Debug, "request_refused" };

static const char* const recallType = "recall";

Platform::ObjectStore Daemon::makePlatformStore()
{
    Platform::ObjectStore store = Platform::HttpObjectStore(m_client, m_settings.platformAddress, m_settings.host).hooks();
    if (!m_settings.traceFile.empty())
        store = tracedStore(std::move(store), m_tracer);
    return m_metrics.instrument(store);
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
    bills.onFlushed = [this](std::vector<std::string> attemptIds) { m_witness.markFlushed(attemptIds); };
    bills.onRefused = [](const Ledger::Usage& usage) {
        Core::logEvent(billRefused, "attempt " + usage.attemptId + " of budget " + usage.budget.text() + " with " + std::to_string(usage.tokens) + " tokens");
    };
    return bills;
}

MembershipService::Hooks Daemon::makeMembershipHooks()
{
    MembershipService::Hooks hooks;
    hooks.memberChanged = [this](const Membership::Member& member) { m_recovery.memberChanged(member); };
    hooks.incarnationSuperseded = [this](const std::string& host, uint64_t older, uint64_t) { m_recovery.incarnationSuperseded(host, older); };
    hooks.generationHeard = [this](uint64_t generation) { m_intent.follower().generationObserved(generation); };
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
    hooks.daemonCount = [this] { return m_membership.live().size(); };
    return hooks;
}

Ledger::WriterSettings Daemon::makeWriterSettings()
{
    Ledger::WriterSettings writer;
    writer.groupCommitDelay = std::chrono::milliseconds(m_settings.commitGatherMs);
    writer.onRecallNeeded = [this](const Ledger::BudgetId& budget, const std::vector<Ledger::Holder>& holders) { recallGrants(budget, holders); };
    return writer;
}

Budget::AccountSettings Daemon::makeAccountSettings()
{
    Budget::AccountSettings accounts;
    accounts.grantIdleTimeout = std::chrono::milliseconds(m_settings.grantIdleMs);
    accounts.policy = [this](const Budget::GrantPolicyInput& need) {
        Budget::GrantPolicySettings policy;
        std::shared_ptr<const Intent::FleetState> state = m_intent.state();
        std::map<std::string, Intent::Workspace>::const_iterator workspace = state->workspaces.find(need.budget.workspace);
        if (workspace != state->workspaces.end())
            policy.maximumPrefetchShare = workspace->second.grantSharePercent / 100.0;
        return Budget::defaultGrantPolicy(policy)(need);
    };
    return accounts;
}

// The body of a recall notice is the workspace and the budget name, separated by a newline.
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
    hooks.startedAt = Core::SteadyClock::now();
    hooks.liveMembers = [this] { return m_membership.live(); };
    hooks.ownerState = [this](const Ledger::Holder& holder) { return ownerState(holder); };
    hooks.localRecordCount = [this](const Ledger::Holder& holder) { return m_records.recordsOf(holder).size(); };
    hooks.audit = [this](uint32_t shard, Core::Deadline deadline, Core::Reason& reason) { return m_ledger.audit(shard, deadline, reason); };
    hooks.submit = makeSubmit();
    hooks.cancelStream = [this](std::string endpoint, std::string streamId, Core::Deadline deadline, Core::Reason& reason) {
        return cancelStream(std::move(endpoint), std::move(streamId), deadline, reason);
    };
    return hooks;
}

Caller::Hooks Daemon::makeCallerHooks()
{
    Caller::Hooks hooks;
    hooks.self = m_self;
    hooks.shardCount = m_settings.shardCount;
    hooks.state = [this] { return m_intent.state(); };
    hooks.checkAdmission = [this] { return admission(); };
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
    hooks.discardAttempt = [this](const std::string& attemptId) { m_witness.markFlushed({ attemptId }); };
    hooks.leaveAttempt = [this](const std::string& attemptId) { m_witness.stopTracking(attemptId); };
    hooks.isJoined = [this](std::string attemptId, Core::Deadline deadline) { return m_witness.isJoined(std::move(attemptId), deadline); };
    hooks.queueBill = [this](Ledger::Usage usage) { m_bills.add(std::move(usage)); };
    hooks.chooseRoute = [this](Caller::RouteQuery query, Core::Deadline deadline, Core::Reason& reason) { return m_routes.choose(std::move(query), deadline, reason); };
    hooks.finishRoute = [this](const Caller::Route& route, Caller::RouteResult result) { m_routes.finishRequest(route, result); };
    hooks.submit = makeSubmit();
    hooks.startSpan = [this](std::string_view name, Telemetry::SpanKind kind, const std::optional<Telemetry::TraceContext>& parent) { return m_tracer.start(name, kind, parent); };
    hooks.observer = m_metrics.callerObserver([](const Caller::Refusal& refusal) { Core::logEvent(requestRefused, refusal.json()); });
    return hooks;
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
