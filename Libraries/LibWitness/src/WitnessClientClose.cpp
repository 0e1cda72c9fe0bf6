#include "Events.h"
#include "LibWitness/WitnessClient.h"
#include "WitnessCalls.h"

namespace Witness {

using Membership::Member;

static constexpr std::chrono::milliseconds callTimeout(250);
static constexpr std::chrono::seconds backgroundCallTimeout(2);
static constexpr std::chrono::seconds resendInterval(1);
static constexpr std::chrono::seconds resendTimeout(5);
// Keeps a message well below the size limit of a frame.
static constexpr size_t resendBatchSize = 2000;

// Closes the record at one witness, ignoring the result.
static Core::Task<void> closeInBackground(std::shared_ptr<WitnessCalls> calls, Member witness, std::string attemptId, Ledger::Usage usage)
{
    Core::Reason ignored;
    co_await calls->close(witness, attemptId, usage, Core::Deadline::after(backgroundCallTimeout), ignored);
}

Core::Task<bool> WitnessClient::closeAt(std::string attemptId, Member witness, Ledger::Usage usage, Core::Deadline deadline, Core::Reason& reason)
{
    Core::Deadline limit = std::min(deadline, Core::Deadline::after(callTimeout));
    std::optional<CloseReply> reply = co_await m_calls->close(witness, attemptId, usage, limit, reason);
    if (!reply)
        co_return false;
    if (!reply->storedUsage) {
        reason = { Core::FailureKind::NotFound, "close record", witness.host, "the witness has no record of the attempt" };
        co_return false;
    }
    if (reply->storedUsage->tokens != usage.tokens) {
        Core::logEvent(usageDiffers, "attempt " + attemptId + ": " + std::to_string(usage.tokens) + " tokens on this daemon, " + std::to_string(reply->storedUsage->tokens) + " on witness " + witness.host);
    }
    co_return true;
}

// Closes the record at the other daemons that were sent it, so that retries which query them see that it has ended.
void WitnessClient::closeOtherReplicas(const OwnedRecord& owned, const std::string& acknowledgedBy, const Ledger::Usage& usage)
{
    for (const Replica& replica : owned.replicas) {
        if (replica.witness.host != acknowledgedBy)
            Core::spawn(m_executor, "close record", closeInBackground(m_calls, replica.witness, owned.record.attemptId, usage));
    }
}

Core::Task<bool> WitnessClient::close(std::string attemptId, Ledger::Usage usage, Core::Deadline deadline, Core::Reason& reason)
{
    auto position = m_owned.find(attemptId);
    if (position == m_owned.end()) {
        reason = { Core::FailureKind::NotFound, "close record", "witness", "this daemon has not opened the attempt at any witness" };
        co_return false;
    }
    if (!position->second.record.usage)
        position->second.record.usage = usage;
    // Copied, because the attempt may be flushed while this task is suspended.
    OwnedRecord owned = position->second;
    std::vector<Replica> unreachable;
    for (const Replica& replica : owned.replicas) {
        if (!replica.isAcknowledged || !isInOtherDomain(replica.witness))
            continue;
        if (co_await closeAt(attemptId, replica.witness, usage, deadline, reason)) {
            closeOtherReplicas(owned, replica.witness.host, usage);
            co_return true;
        }
        if (reason.kind != Core::FailureKind::NotFound)
            unreachable.push_back(replica);
    }
    // All witnesses are unreachable or have lost the record. Send the whole record with its usage to another one.
    std::vector<Member> members = candidates(owned.record.requestId);
    owned.replicas = std::move(unreachable);
    std::optional<OpenResult> unused;
    if (co_await openInOtherDomains(owned, unused, std::move(members), false, deadline, reason) != OpenOutcome::Stored)
        co_return false;
    addReplica(attemptId, owned.replicas.back());
    co_return true;
}

bool WitnessClient::hasLiveReplica(const OwnedRecord& owned, const std::map<std::string, Member>& live) const
{
    return std::ranges::any_of(owned.replicas, [&](const Replica& replica) {
        auto position = live.find(replica.witness.host);
        return replica.isAcknowledged && isInOtherDomain(replica.witness) && position != live.end()
            && position->second.incarnation == replica.witness.incarnation;
    });
}

Core::Task<void> WitnessClient::resendUnreplicated(Core::Deadline deadline)
{
    std::map<std::string, Member> live;
    for (const Member& member : m_hooks.members()) {
        if (member.state == Membership::MemberState::Alive)
            live.emplace(member.host, member);
    }
    std::map<std::string, std::vector<Record>> byWitness;
    for (const auto& [attemptId, owned] : m_owned) {
        if (hasLiveReplica(owned, live))
            continue;
        for (const Member& member : candidates(owned.record.requestId)) {
            if (!isInOtherDomain(member) || !live.contains(member.host))
                continue;
            byWitness[member.host].push_back(owned.record);
            break;
        }
    }
    for (auto& [host, records] : byWitness) {
        for (size_t start = 0; start < records.size(); start += resendBatchSize) {
            size_t end = std::min(start + resendBatchSize, records.size());
            std::vector<Record> batch(records.begin() + static_cast<ptrdiff_t>(start), records.begin() + static_cast<ptrdiff_t>(end));
            co_await resendTo(live.at(host), std::move(batch), deadline);
        }
    }
}

Core::Task<void> WitnessClient::resendTo(Member witness, std::vector<Record> records, Core::Deadline deadline)
{
    Core::Reason reason;
    std::optional<std::vector<RecordOpenResult>> results = co_await m_calls->open(witness, records, false, deadline, reason);
    if (!results) {
        Core::logEvent(resendFailed, std::to_string(records.size()) + " records: " + reason.text());
        co_return;
    }
    size_t storedCount = 0;
    for (size_t i = 0; i < records.size(); ++i) {
        if ((*results)[i].status != OpenStatus::Stored)
            continue;
        ++storedCount;
        const std::string& attemptId = records[i].attemptId;
        addReplica(attemptId, { witness, true });
        // The attempt may have been flushed or closed while the record was being sent.
        auto position = m_owned.find(attemptId);
        if (position == m_owned.end())
            m_calls->notifyFlushed(witness, { attemptId });
        else if (position->second.record.usage && !records[i].usage)
            Core::spawn(m_executor, "close record", closeInBackground(m_calls, witness, attemptId, *position->second.record.usage));
    }
    Core::logEvent(recordsResent, std::to_string(storedCount) + " of " + std::to_string(records.size()) + " records to " + witness.host);
}

Core::Task<void> WitnessClient::run()
{
    while (!m_isStopped) {
        co_await Core::sleepUntil(Core::Deadline::after(resendInterval));
        if (!m_isStopped)
            co_await resendUnreplicated(Core::Deadline::after(resendTimeout));
    }
}

}
