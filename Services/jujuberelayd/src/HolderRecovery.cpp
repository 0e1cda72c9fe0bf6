#include "HolderRecovery.h"

#include "LibCore/EventLog.h"
#include "LibWitness/WitnessService.h"
#include <algorithm>
#include <chrono>

using Core::SteadyClock;
using Ledger::Holder;
using Membership::Member;
using Membership::MemberState;

static constexpr Core::Event holderReleased { 2201, Core::Severity::Info, "holder_released" };
static constexpr Core::Event holderStranded { 2202, Core::Severity::Warning, "holder_stranded" };
static constexpr Core::Event releaseDelayed { 2203, Core::Severity::Info, "release_delayed" };

static constexpr std::chrono::milliseconds roundInterval(2000);
static constexpr std::chrono::milliseconds callTimeout(2000);
// A holder resends its records within a few seconds after losing a witness. Two losses within this window may have destroyed
// both copies of a record.
static constexpr std::chrono::seconds lossWindow(60);
// Delay after which other daemons try, if the first in rendezvous order has not released the holder.
static constexpr std::chrono::seconds takeoverDelay(30);

HolderRecovery::HolderRecovery(std::string selfHost, uint32_t shardCount, Peer::Network& network, Hooks hooks)
    : m_selfHost(std::move(selfHost))
    , m_shardCount(shardCount)
    , m_network(network)
    , m_hooks(std::move(hooks))
    , m_startedAt(m_hooks.startedAt)
{
}

void HolderRecovery::memberChanged(const Member& member)
{
    Holder holder { member.host, member.incarnation };
    m_lastStates[holder] = member.state;
    if (member.state == MemberState::Suspect)
        m_suspects.emplace(holder, SteadyClock::now());
    else
        m_suspects.erase(holder);
}

void HolderRecovery::incarnationSuperseded(const std::string& host, uint64_t older)
{
    Holder holder { host, older };
    std::map<Holder, MemberState>::iterator known = m_lastStates.find(holder);
    if (known == m_lastStates.end())
        return;
    std::map<Holder, SteadyClock::time_point>::iterator suspected = m_suspects.find(holder);
    SteadyClock::time_point lostAt = suspected == m_suspects.end() ? SteadyClock::now() : suspected->second;
    m_lost.emplace(holder, Loss { lostAt, known->second == MemberState::Left, false });
    m_lastStates.erase(known);
    if (suspected != m_suspects.end())
        m_suspects.erase(suspected);
}

// Treats daemons on hosts that an operator has withdrawn as lost.
void HolderRecovery::markWithdrawnHostsLost()
{
    std::vector<Holder> deadHolders;
    for (const std::pair<const Holder, MemberState>& known : m_lastStates) {
        if (known.first.host != m_selfHost && m_hooks.ownerState(known.first) == Witness::OwnerState::ConfirmedDead)
            deadHolders.push_back(known.first);
    }
    for (const Holder& holder : deadHolders)
        incarnationSuperseded(holder.host, holder.incarnation);
}

// A daemon that started after the loss or shortly before it cannot know which other daemons, such as its own predecessor,
// were lost with the holder.
bool HolderRecovery::hasObservedLossWindow(const Loss& loss) const
{
    return loss.at - m_startedAt >= lossWindow;
}

bool HolderRecovery::shouldTryRelease(const Holder& holder, const Loss& loss) const
{
    if (SteadyClock::now() - loss.at > takeoverDelay)
        return true;
    std::vector<Member> order = Membership::rendezvousOrder("recover-" + holder.text(), m_hooks.liveMembers());
    return order.empty() || order.front().host == m_selfHost;
}

static bool isWithinLossWindow(SteadyClock::time_point left, SteadyClock::time_point right)
{
    return left - right < lossWindow && right - left < lossWindow;
}

// Returns whether records of the holder may have been lost with another daemon. Marks the holder as stranded if one was lost
// within the loss window.
bool HolderRecovery::mayHaveLostRecords(const Holder& holder, Loss& loss) const
{
    for (const std::map<Holder, Loss>* losses : { &m_lost, &m_released }) {
        for (const std::pair<const Holder, Loss>& other : *losses) {
            if (other.first.host != holder.host && !other.second.wasGraceful && isWithinLossWindow(other.second.at, loss.at))
                loss.isStranded = true;
        }
    }
    if (loss.isStranded) {
        Core::logEvent(holderStranded, holder.text() + ": another daemon that may have stored its records was lost within 60 s");
        return true;
    }
    // A suspect may recover and respond, or be superseded and count as lost.
    return std::any_of(m_suspects.begin(), m_suspects.end(), [&holder](const std::pair<const Holder, SteadyClock::time_point>& suspect) {
        return suspect.first.host != holder.host;
    });
}

Core::Task<bool> HolderRecovery::hasNoUnbilledRecords(Holder holder)
{
    if (m_hooks.localRecordCount(holder) > 0)
        co_return false;
    for (const Member& member : m_hooks.liveMembers()) {
        if (member.host == m_selfHost)
            continue;
        Core::Reason reason;
        std::optional<std::vector<Witness::Record>> records
            = co_await Witness::fetchRecordsOf(m_network, member.peerAddress, holder, Core::Deadline::after(callTimeout), reason);
        if (!records || !records->empty()) {
            Core::logEvent(releaseDelayed, holder.text() + ": " + member.host + (records ? " has " + std::to_string(records->size()) + " unbilled records" : " did not respond: " + reason.message));
            co_return false;
        }
    }
    co_return true;
}

Core::Task<bool> HolderRecovery::submit(uint32_t shard, std::vector<Ledger::Entry> entries)
{
    if (entries.empty())
        co_return true;
    Core::Reason ignored;
    std::optional<std::vector<Ledger::EntryResult>> results = co_await m_hooks.submit(shard, std::move(entries), Core::Deadline::after(callTimeout * 2), ignored);
    co_return results.has_value();
}

Core::Task<bool> HolderRecovery::settleOpenAttempts(Holder holder, const std::vector<Ledger::OpenAttempt>& attempts)
{
    for (const Ledger::OpenAttempt& attempt : attempts) {
        if (attempt.holder != holder)
            continue;
        Core::Reason reason;
        std::optional<Ledger::Tokens> tokens
            = co_await m_hooks.cancelStream(attempt.endpoint, attempt.attemptId, Core::Deadline::after(callTimeout), reason);
        if (!tokens && reason.kind != Core::FailureKind::NotFound)
            co_return false;
        Ledger::Usage usage { attempt.attemptId, attempt.requestId, attempt.budget, holder, tokens.value_or(0), Ledger::UsageKind::BrokenOff,
            std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count() };
        std::vector<Ledger::Entry> entries { usage };
        if (!co_await submit(Ledger::shardOf(attempt.budget, m_shardCount), std::move(entries)))
            co_return false;
    }
    co_return true;
}

Core::Task<bool> HolderRecovery::closeGrants(Holder holder, uint32_t shard, const Ledger::LedgerAudit& audit)
{
    std::vector<Ledger::Entry> entries;
    for (const std::pair<const Ledger::BudgetId, Ledger::BudgetAudit>& budget : audit.budgets) {
        std::map<Holder, Ledger::Tokens>::const_iterator outstanding = budget.second.outstanding.find(holder);
        if (outstanding == budget.second.outstanding.end())
            continue;
        Core::logEvent(holderReleased, holder.text() + ": " + std::to_string(outstanding->second) + " tokens of " + budget.first.text());
        entries.push_back(Ledger::CloseHolder { budget.first, holder });
    }
    co_return co_await submit(shard, std::move(entries));
}

Core::Task<bool> HolderRecovery::release(Holder holder)
{
    std::map<uint32_t, Ledger::LedgerAudit> audits;
    for (uint32_t shard = 0; shard < m_shardCount; ++shard) {
        Core::Reason ignored;
        std::optional<Ledger::LedgerAudit> audit = co_await m_hooks.audit(shard, Core::Deadline::after(callTimeout), ignored);
        if (!audit || !co_await settleOpenAttempts(holder, audit->openAttempts))
            co_return false;
        audits.emplace(shard, std::move(*audit));
    }
    for (const std::pair<const uint32_t, Ledger::LedgerAudit>& audit : audits) {
        if (!co_await closeGrants(holder, audit.first, audit.second))
            co_return false;
    }
    co_return true;
}

Core::Task<void> HolderRecovery::runOnce()
{
    SteadyClock::time_point now = SteadyClock::now();
    std::erase_if(m_released, [now](const std::pair<const Holder, Loss>& item) { return !isWithinLossWindow(item.second.at, now); });
    markWithdrawnHostsLost();
    std::vector<Holder> candidates;
    for (const std::pair<const Holder, Loss>& item : m_lost) {
        if (!item.second.isStranded && hasObservedLossWindow(item.second) && m_hooks.ownerState(item.first) == Witness::OwnerState::ConfirmedDead && shouldTryRelease(item.first, item.second))
            candidates.push_back(item.first);
    }
    for (const Holder& holder : candidates) {
        if (mayHaveLostRecords(holder, m_lost.at(holder)))
            continue;
        if (!co_await hasNoUnbilledRecords(holder))
            continue;
        // Another daemon may have been lost during the calls.
        if (mayHaveLostRecords(holder, m_lost.at(holder)) || !co_await release(holder))
            continue;
        m_released.insert(m_lost.extract(holder));
    }
}

Core::Task<void> HolderRecovery::run()
{
    while (!m_isStopped) {
        co_await Core::sleepUntil(Core::Deadline::after(roundInterval));
        if (!m_isStopped)
            co_await runOnce();
    }
}
