#include "EscrowReplay.h"

#include <algorithm>

// The daemon part of the replay, which mirrors Budget::Accounts.
namespace Measure {

using Ledger::Entry;
using Ledger::EntryResult;

EscrowReplay::EscrowReplay(const BudgetTrace& trace, const ReplaySettings& settings, uint64_t seed)
    : BudgetReplay(trace, settings)
    , m_random(seed)
    , m_policy(Budget::defaultGrantPolicy(settings.policy))
    , m_pacer(m_writer.writesPerSecond, m_writer.writeBurst)
{
    for (uint32_t number = 0; number < trace.daemons; ++number) {
        m_daemons.push_back(std::make_unique<Daemon>());
        m_daemons.back()->number = number;
        m_daemons.back()->holder = { "host-" + std::to_string(number), 1 };
        m_daemons.back()->retryDelay = settings.account.initialRetryDelay;
    }
}

void EscrowReplay::prepare()
{
    constexpr std::chrono::milliseconds flushInterval { 1000 };
    for (const std::unique_ptr<Daemon>& daemon : m_daemons) {
        // Random offsets keep the timers of the daemons from firing at the same time.
        std::chrono::milliseconds offset(m_random() % 1000);
        for (Time at = Time {} + offset; at < m_trace.end + std::chrono::minutes(1); at += m_settings.account.maintenanceInterval)
            m_events.scheduleAt(at, [this, &daemon] { maintain(*daemon); });
        for (Time at = Time {} + offset; at < m_trace.end + std::chrono::minutes(1); at += flushInterval)
            m_events.scheduleAt(at, [this, &daemon] { flushBills(*daemon); });
    }
}

void EscrowReplay::handleArrival(size_t request)
{
    Daemon& daemon = *m_daemons[m_trace.requests[request].daemon];
    if (daemon.waiting.empty() && daemon.account.hold(m_trace.requests[request].bound, m_events.now()))
        return serve(request);
    if (isUnservable(daemon, request))
        return refuse(request);
    daemon.waiting.push_back(request);
    startGrant(daemon);
}

void EscrowReplay::serveWaiting(Daemon& daemon)
{
    std::erase_if(daemon.waiting, [this, &daemon](size_t request) {
        if (!daemon.account.hold(m_trace.requests[request].bound, m_events.now()))
            return false;
        serve(request);
        return true;
    });
    if (daemon.waiting.empty())
        daemon.retryDelay = m_settings.account.initialRetryDelay;
}

void EscrowReplay::handleWaitTimeout(size_t request)
{
    Daemon& daemon = *m_daemons[m_trace.requests[request].daemon];
    std::erase(daemon.waiting, request);
    refuse(request);
    handleReleasedTokens(daemon);
}

void EscrowReplay::handleCompletion(size_t request)
{
    const TraceRequest& ended = m_trace.requests[request];
    Daemon& daemon = *m_daemons[ended.daemon];
    daemon.account.settle(ended.bound, ended.used, m_events.now());
    std::string identity = std::to_string(request);
    daemon.bills.push_back(Ledger::Usage { identity, identity, m_budget, daemon.holder, ended.used, Ledger::UsageKind::Complete, 0 });
    handleReleasedTokens(daemon);
}

void EscrowReplay::handleReleasedTokens(Daemon& daemon)
{
    serveWaiting(daemon);
    if (daemon.waiting.empty() && daemon.account.isScarce(m_events.now()))
        startReturn(daemon);
}

void EscrowReplay::startGrant(Daemon& daemon)
{
    if (daemon.isGrantInFlight)
        return;
    daemon.isGrantInFlight = true;
    Tokens wanted = 0;
    for (size_t request : daemon.waiting)
        wanted += m_trace.requests[request].bound;
    Budget::GrantPolicyInput need = daemon.account.policyInput(m_budget, wanted, m_events.now());
    Tokens size = std::max(need.shortfall, m_policy(need));
    Tokens target = daemon.account.granted() + size;
    send(
        daemon.number, { Ledger::Grant { m_budget, daemon.holder, target } },
        [this, &daemon, target](const EntryResult& result) { handleGrantResult(daemon, target, result); },
        [this, &daemon] {
            daemon.isGrantInFlight = false;
            scheduleRetry(daemon);
        });
}

void EscrowReplay::handleGrantResult(Daemon& daemon, Tokens target, const EntryResult& result)
{
    daemon.isGrantInFlight = false;
    daemon.grantResultAt = m_events.now();
    daemon.isExhausted = result.cumulativeGranted < target;
    daemon.account.applyGrantResult(result);
    daemon.availableAfterGrant = daemon.account.available();
    if (daemon.isExhausted)
        daemon.account.markScarceUntil(m_events.now() + m_settings.account.scarcityDuration);
    serveWaiting(daemon);
    if (daemon.isExhausted && !daemon.waiting.empty())
        startReturn(daemon);
    std::erase_if(daemon.waiting, [this, &daemon](size_t request) {
        if (!isUnservable(daemon, request))
            return false;
        refuse(request);
        return true;
    });
    scheduleRetry(daemon);
}

bool EscrowReplay::isUnservable(const Daemon& daemon, size_t request) const
{
    bool isRecent = m_events.now() < daemon.grantResultAt + m_settings.account.exhaustedCacheTime;
    return daemon.isExhausted && isRecent && m_trace.requests[request].bound > daemon.availableAfterGrant && !daemon.account.othersHoldGrants() && daemon.account.held() == 0;
}

void EscrowReplay::scheduleRetry(Daemon& daemon)
{
    if (daemon.waiting.empty() || daemon.isRetryScheduled)
        return;
    daemon.isRetryScheduled = true;
    std::chrono::milliseconds wait = daemon.retryDelay / 2 + std::chrono::milliseconds(m_random() % static_cast<uint64_t>(daemon.retryDelay.count() + 1));
    daemon.retryDelay = std::min(daemon.retryDelay * 2, m_settings.account.maximumRetryDelay);
    m_events.scheduleAfter(wait, [this, &daemon] {
        daemon.isRetryScheduled = false;
        if (!daemon.waiting.empty())
            startGrant(daemon);
    });
}

void EscrowReplay::startReturn(Daemon& daemon)
{
    daemon.account.markAvailableReturned();
    sendReturn(daemon);
}

void EscrowReplay::sendReturn(Daemon& daemon)
{
    if (daemon.isReturnInFlight || daemon.confirmedReturned == daemon.account.returned())
        return;
    daemon.isReturnInFlight = true;
    Tokens cumulative = daemon.account.returned();
    send(
        daemon.number, { Ledger::Return { m_budget, daemon.holder, cumulative } },
        [this, &daemon, cumulative](const EntryResult&) {
            daemon.isReturnInFlight = false;
            daemon.confirmedReturned = cumulative;
            sendReturn(daemon);
        },
        [&daemon] { daemon.isReturnInFlight = false; });
}

void EscrowReplay::recall(Daemon& daemon)
{
    daemon.account.markScarceUntil(m_events.now() + m_settings.account.scarcityDuration);
    startReturn(daemon);
}

void EscrowReplay::maintain(Daemon& daemon)
{
    Budget::GrantAccount& account = daemon.account;
    bool isIdle = m_events.now() >= account.lastUsed() + m_settings.account.grantIdleTimeout;
    bool isScarce = account.isScarce(m_events.now());
    if (daemon.waiting.empty() && (isIdle || isScarce))
        return startReturn(daemon);
    sendReturn(daemon);
    bool wasExhausted = daemon.isExhausted && m_events.now() < daemon.grantResultAt + m_settings.account.maximumRetryDelay;
    if (!isScarce && !wasExhausted && account.needsPrefetch(m_budget, m_policy, m_settings.account.minimumPrefetchSeconds, m_events.now()))
        startGrant(daemon);
}

void EscrowReplay::flushBills(Daemon& daemon)
{
    if (daemon.bills.empty())
        return;
    std::vector<Entry> bills = std::move(daemon.bills);
    daemon.bills.clear();
    send(
        daemon.number, bills,
        [this](const EntryResult& result) {
            if (result.code != Ledger::ResultCode::Applied && result.code != Ledger::ResultCode::Duplicate)
                countViolation();
        },
        [&daemon, bills] { daemon.bills.insert(daemon.bills.end(), bills.begin(), bills.end()); });
}

}
