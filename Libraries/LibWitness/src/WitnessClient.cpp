#include "LibWitness/WitnessClient.h"

#include "WitnessCalls.h"
#include <boost/asio/experimental/awaitable_operators.hpp>

namespace Witness {

using Membership::Member;

// A witness that does not respond within this time is skipped. It may have stored the record nevertheless, so that the
// record exists twice.
static constexpr std::chrono::milliseconds callTimeout(250);
static constexpr size_t maxWitnessTries = 3;

static Core::Deadline withCallTimeout(Core::Deadline deadline)
{
    return std::min(deadline, Core::Deadline::after(callTimeout));
}

static bool mayHaveArrived(const Core::Reason& reason)
{
    return reason.kind == Core::FailureKind::TimedOut || reason.kind == Core::FailureKind::OutcomeUnknown;
}

WitnessClient::WitnessClient(const boost::asio::any_io_executor& executor, Peer::Network& network, RecordStore& local, Peer::Identity self, Hooks hooks)
    : m_executor(executor)
    , m_self(std::move(self))
    , m_hooks(std::move(hooks))
    , m_calls(std::make_shared<WitnessCalls>(network, local, Ledger::Holder { m_self.host, m_self.incarnation }))
{
}

WitnessClient::~WitnessClient() = default;

std::vector<Member> WitnessClient::candidates(const std::string& requestId) const
{
    std::vector<Member> members = m_hooks.members();
    std::erase_if(members, [](const Member& member) {
        return member.state == Membership::MemberState::Left || member.state == Membership::MemberState::Suspect;
    });
    return m_hooks.order(requestId, std::move(members));
}

// Opens the record at one daemon. Sets the result if the outcome is Existing.
Core::Task<WitnessClient::OpenOutcome> WitnessClient::tryOpen(
    OwnedRecord& own, std::optional<OpenResult>& result, Member member, bool joinExisting, Core::Deadline deadline, Core::Reason& reason)
{
    std::vector<Record> records { own.record };
    std::optional<std::vector<RecordOpenResult>> results = co_await m_calls->open(member, std::move(records), joinExisting, withCallTimeout(deadline), reason);
    if (!results) {
        if (mayHaveArrived(reason))
            own.replicas.push_back({ member, false });
        co_return OpenOutcome::Failed;
    }
    RecordOpenResult& openResult = results->front();
    switch (openResult.status) {
    case OpenStatus::Stored:
        own.replicas.push_back({ member, true });
        co_return OpenOutcome::Stored;
    case OpenStatus::Existing:
        if (openResult.existing)
            result = joinExistingAttempt(own, *openResult.existing, member);
        co_return openResult.existing ? OpenOutcome::Existing : OpenOutcome::Failed;
    case OpenStatus::Full:
    case OpenStatus::Draining:
        break;
    }
    const char* message = openResult.status == OpenStatus::Full ? "the record store of the witness is full" : "the witness is draining";
    reason = { Core::FailureKind::Refused, "open record", member.host, message };
    co_return OpenOutcome::Failed;
}

// Opens the record at the first daemon outside this failure domain that accepts it.
Core::Task<WitnessClient::OpenOutcome> WitnessClient::openInOtherDomains(
    OwnedRecord& own, std::optional<OpenResult>& result, std::vector<Member> members, bool joinExisting, Core::Deadline deadline, Core::Reason& reason)
{
    size_t tries = 0;
    for (const Member& member : members) {
        bool isTried = std::ranges::any_of(own.replicas, [&member](const Replica& replica) { return replica.witness.host == member.host; });
        if (!isInOtherDomain(member) || isTried)
            continue;
        if (tries++ == maxWitnessTries || deadline.hasPassed())
            break;
        OpenOutcome outcome = co_await tryOpen(own, result, member, joinExisting, deadline, reason);
        if (outcome != OpenOutcome::Failed)
            co_return outcome;
    }
    co_return OpenOutcome::Failed;
}

// The first candidate decides between concurrent attempts of one request: every attempt is opened there first, and its
// store checks and inserts atomically. The second candidate is queried for attempts that were opened while the first one
// was unreachable, or that the first one has lost.
Core::Task<WitnessClient::OpenOutcome> WitnessClient::openAtCandidates(
    OwnedRecord& own, std::optional<OpenResult>& result, Member first, std::optional<Member> second, Core::Deadline deadline, Core::Reason& reason)
{
    if (!second)
        co_return co_await tryOpen(own, result, first, true, deadline, reason);
    OpenOutcome outcome = OpenOutcome::Failed;
    if (isInOtherDomain(first)) {
        using namespace boost::asio::experimental::awaitable_operators;
        std::optional<Record> found;
        std::tie(outcome, found) = co_await (tryOpen(own, result, first, true, deadline, reason)
            && joinAt(*second, own.record, deadline));
        if (found)
            result = joinExistingAttempt(own, *found, *second);
        co_return found ? OpenOutcome::Existing : outcome;
    }
    outcome = co_await tryOpen(own, result, first, true, deadline, reason);
    // The second candidate may also have the attempt. It must know the joiner, or it would cancel the attempt at the
    // deadline of the first owner. A new record is opened there by the caller.
    if (outcome == OpenOutcome::Existing) {
        std::optional<Record> found = co_await joinAt(*second, own.record, deadline);
        if (found)
            joinExistingAttempt(own, *found, *second);
    }
    co_return outcome;
}

// Looks up an attempt of the same request at one daemon, and joins it.
Core::Task<std::optional<Record>> WitnessClient::joinAt(Member member, Record own, Core::Deadline deadline)
{
    Core::Reason ignored;
    std::optional<LookupReply> reply = co_await m_calls->lookup(member, own.requestId, own.deadline, withCallTimeout(deadline), ignored);
    if (!reply)
        co_return std::nullopt;
    co_return reply->record;
}

Core::Task<std::optional<Record>> WitnessClient::find(std::string requestId, Core::Deadline joinUntil, Core::Deadline deadline)
{
    std::vector<Member> members = candidates(requestId);
    std::optional<Record> found;
    std::string askedDomain;
    for (const Member& member : members) {
        // Query the first daemon in the order, and the first one outside its failure domain.
        if (member.failureDomain == askedDomain)
            continue;
        Core::Reason ignored;
        std::optional<LookupReply> reply = co_await m_calls->lookup(member, requestId, joinUntil, withCallTimeout(deadline), ignored);
        if (reply && reply->record)
            found = reply->record;
        if (found || !askedDomain.empty())
            break;
        askedDomain = member.failureDomain;
    }
    co_return found;
}

// Joins an attempt that was opened earlier, and discards the records of the own attempt.
OpenResult WitnessClient::joinExistingAttempt(OwnedRecord& own, const Record& existing, const Member& witness)
{
    if (existing.attemptId != own.record.attemptId)
        discardReplicas(own);
    Record joined = existing;
    joined.deadline = own.record.deadline;
    m_owned.try_emplace(existing.attemptId, OwnedRecord { joined, {} });
    addReplica(existing.attemptId, { witness, true });
    return { existing, witness.host };
}

void WitnessClient::discardReplicas(const OwnedRecord& own)
{
    for (const Replica& replica : own.replicas)
        m_calls->notifyFlushed(replica.witness, { own.record.attemptId });
}

Core::Task<std::optional<OpenResult>> WitnessClient::open(Record record, Core::Deadline deadline, Core::Reason& reason, IdentityKind kind)
{
    reason = { Core::FailureKind::Unavailable, "open record", "witness", "no witness is available in another failure domain" };
    std::vector<Member> members = candidates(record.requestId);
    OwnedRecord own { std::move(record), {} };
    std::optional<OpenResult> result;
    bool joinExisting = kind == IdentityKind::IdempotencyKey;
    OpenOutcome outcome = OpenOutcome::Failed;
    if (joinExisting && !members.empty()) {
        auto second = std::ranges::find_if(members, [&members](const Member& member) { return member.failureDomain != members.front().failureDomain; });
        std::optional<Member> secondMember = second == members.end() ? std::nullopt : std::optional<Member>(*second);
        outcome = co_await openAtCandidates(own, result, members.front(), secondMember, deadline, reason);
        // Retries query only these two daemons, so the second candidate decides while the first one is unreachable.
        if (outcome == OpenOutcome::Failed && secondMember)
            outcome = co_await tryOpen(own, result, *secondMember, true, deadline, reason);
        // A copy in the own failure domain decides between attempts, but is lost if the whole domain fails.
        bool hasReplicaInOtherDomain = std::ranges::any_of(own.replicas, [this](const Replica& replica) { return replica.isAcknowledged && isInOtherDomain(replica.witness); });
        if (outcome == OpenOutcome::Stored && !hasReplicaInOtherDomain)
            outcome = OpenOutcome::Failed;
    }
    if (outcome == OpenOutcome::Failed)
        outcome = co_await openInOtherDomains(own, result, std::move(members), joinExisting, deadline, reason);
    if (outcome == OpenOutcome::Existing)
        co_return result;
    if (outcome == OpenOutcome::Failed) {
        discardReplicas(own);
        co_return std::nullopt;
    }
    std::string attemptId = own.record.attemptId;
    std::string witness = own.replicas.back().witness.host;
    m_owned.insert_or_assign(attemptId, std::move(own));
    co_return OpenResult { std::nullopt, witness };
}

void WitnessClient::markFlushed(const std::vector<std::string>& attemptIds)
{
    std::map<std::string, std::pair<Member, std::vector<std::string>>> byWitness;
    for (const std::string& attemptId : attemptIds) {
        auto position = m_owned.find(attemptId);
        if (position == m_owned.end())
            continue;
        for (const Replica& replica : position->second.replicas) {
            auto& [witness, ids] = byWitness[replica.witness.host];
            witness = replica.witness;
            ids.push_back(attemptId);
        }
        m_owned.erase(position);
    }
    for (const auto& [host, entry] : byWitness)
        m_calls->notifyFlushed(entry.first, entry.second);
}

Core::Task<bool> WitnessClient::isJoined(std::string attemptId, Core::Deadline deadline)
{
    auto position = m_owned.find(attemptId);
    if (position == m_owned.end())
        co_return false;
    OwnedRecord owned = position->second;
    for (const Replica& replica : owned.replicas) {
        Core::Reason ignored;
        Core::Deadline passed(Core::SteadyClock::now());
        std::optional<LookupReply> reply = co_await m_calls->lookup(replica.witness, owned.record.requestId, passed, withCallTimeout(deadline), ignored);
        if (reply && reply->record && reply->record->attemptId == attemptId && reply->joiners > 0)
            co_return true;
    }
    co_return false;
}

void WitnessClient::addReplica(const std::string& attemptId, const Replica& added)
{
    auto position = m_owned.find(attemptId);
    if (position == m_owned.end())
        return;
    for (Replica& replica : position->second.replicas) {
        if (replica.witness.host != added.witness.host)
            continue;
        replica = added;
        return;
    }
    position->second.replicas.push_back(added);
}

std::vector<Record> WitnessClient::unflushed() const
{
    std::vector<Record> records;
    for (const auto& [attemptId, owned] : m_owned)
        records.push_back(owned.record);
    return records;
}

}
