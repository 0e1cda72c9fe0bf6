#include "Events.h"
#include "LibWitness/WitnessClient.h"
#include "WitnessCalls.h"

namespace Witness {

using Membership::Member;

static constexpr std::chrono::milliseconds tryLimit(250);
static constexpr std::chrono::seconds backgroundLimit(2);
static constexpr std::chrono::seconds resendInterval(1);
static constexpr std::chrono::seconds resendLimit(5);
// Well below the size limit of a frame.
static constexpr size_t resendBatch = 2000;

// The close at one witness, without a result to wait for.
static Core::Task<void> closeInBackground(std::shared_ptr<WitnessCalls> calls, Member witness, std::string attemptId, Ledger::Usage usage)
{
    Core::Reason ignored;
    co_await calls->close(witness, attemptId, usage, Core::Deadline::after(backgroundLimit), ignored);
}

Core::Task<bool> WitnessClient::closeAt(std::string attemptId, Member witness, Ledger::Usage usage, Core::Deadline deadline, Core::Reason& reason)
{
    Core::Deadline limit = std::min(deadline, Core::Deadline::after(tryLimit));
    std::optional<CloseReply> reply = co_await m_calls->close(witness, attemptId, usage, limit, reason);
    if (!reply)
        co_return false;
    if (!reply->kept) {
        reason = { Core::FailureKind::NotFound, "close record", witness.host, "the witness does not know the attempt" };
        co_return false;
    }
    if (reply->kept->tokens != usage.tokens) {
        Core::logEvent(usageDiffers, "attempt " + attemptId + ": " + std::to_string(usage.tokens) + " tokens here, " + std::to_string(reply->kept->tokens) + " kept by " + witness.host);
    }
    co_return true;
}

// Tells the other daemons that were sent the record, so that retries which ask them see that the attempt has ended.
void WitnessClient::closeElsewhere(const Owned& owned, const std::string& acknowledgedBy, const Ledger::Usage& usage)
{
    for (const Holding& holding : owned.holdings) {
        if (holding.witness.host != acknowledgedBy)
            Core::spawn(m_executor, "close record", closeInBackground(m_calls, holding.witness, owned.record.attemptId, usage));
    }
}

Core::Task<bool> WitnessClient::close(std::string attemptId, Ledger::Usage usage, Core::Deadline deadline, Core::Reason& reason)
{
    auto position = m_owned.find(attemptId);
    if (position == m_owned.end()) {
        reason = { Core::FailureKind::NotFound, "close record", "witness", "the attempt is not open at any witness" };
        co_return false;
    }
    if (!position->second.record.usage)
        position->second.record.usage = usage;
    // A copy, since the attempt may be flushed while this task waits.
    Owned owned = position->second;
    std::vector<Holding> unreachable;
    for (const Holding& holding : owned.holdings) {
        if (!holding.isAcknowledged || !isOutside(holding.witness))
            continue;
        if (co_await closeAt(attemptId, holding.witness, usage, deadline, reason)) {
            closeElsewhere(owned, holding.witness.host, usage);
            co_return true;
        }
        if (reason.kind != Core::FailureKind::NotFound)
            unreachable.push_back(holding);
    }
    // The witness is lost or has restarted: the whole record with its usage goes to a further one.
    std::vector<Member> members = candidates(owned.record.requestId);
    owned.holdings = std::move(unreachable);
    std::optional<OpenResult> unused;
    if (co_await openAtOutsiders(owned, unused, std::move(members), false, deadline, reason) != Step::Stored)
        co_return false;
    addHolding(attemptId, owned.holdings.back());
    co_return true;
}

bool WitnessClient::isCovered(const Owned& owned, const std::map<std::string, Member>& live) const
{
    return std::ranges::any_of(owned.holdings, [&](const Holding& holding) {
        auto position = live.find(holding.witness.host);
        return holding.isAcknowledged && isOutside(holding.witness) && position != live.end()
            && position->second.incarnation == holding.witness.incarnation;
    });
}

Core::Task<void> WitnessClient::resendLost(Core::Deadline deadline)
{
    std::map<std::string, Member> live;
    for (const Member& member : m_hooks.members()) {
        if (member.state == Membership::MemberState::Alive)
            live.emplace(member.host, member);
    }
    std::map<std::string, std::vector<Record>> byWitness;
    for (const auto& [attemptId, owned] : m_owned) {
        if (isCovered(owned, live))
            continue;
        for (const Member& member : candidates(owned.record.requestId)) {
            if (!isOutside(member) || !live.contains(member.host))
                continue;
            byWitness[member.host].push_back(owned.record);
            break;
        }
    }
    for (auto& [host, records] : byWitness) {
        for (size_t start = 0; start < records.size(); start += resendBatch) {
            size_t end = std::min(start + resendBatch, records.size());
            std::vector<Record> batch(records.begin() + static_cast<ptrdiff_t>(start), records.begin() + static_cast<ptrdiff_t>(end));
            co_await resendTo(live.at(host), std::move(batch), deadline);
        }
    }
}

Core::Task<void> WitnessClient::resendTo(Member witness, std::vector<Record> records, Core::Deadline deadline)
{
    Core::Reason reason;
    std::optional<std::vector<OpenAnswer>> answers = co_await m_calls->open(witness, records, false, deadline, reason);
    if (!answers) {
        Core::logEvent(resendFailed, std::to_string(records.size()) + " records: " + reason.text());
        co_return;
    }
    size_t stored = 0;
    for (size_t i = 0; i < records.size(); ++i) {
        if ((*answers)[i].status != OpenStatus::Stored)
            continue;
        ++stored;
        const std::string& attemptId = records[i].attemptId;
        addHolding(attemptId, { witness, true });
        // The attempt was flushed or closed while the record was under way.
        auto position = m_owned.find(attemptId);
        if (position == m_owned.end())
            m_calls->flushed(witness, { attemptId });
        else if (position->second.record.usage && !records[i].usage)
            Core::spawn(m_executor, "close record", closeInBackground(m_calls, witness, attemptId, *position->second.record.usage));
    }
    Core::logEvent(recordsResent, std::to_string(stored) + " of " + std::to_string(records.size()) + " records to " + witness.host);
}

Core::Task<void> WitnessClient::run()
{
    while (!m_isStopped) {
        co_await Core::sleepUntil(Core::Deadline::after(resendInterval));
        if (!m_isStopped)
            co_await resendLost(Core::Deadline::after(resendLimit));
    }
}

}
