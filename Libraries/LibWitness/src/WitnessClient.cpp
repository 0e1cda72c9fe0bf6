#include "LibWitness/WitnessClient.h"

#include "WitnessCalls.h"
#include <boost/asio/experimental/awaitable_operators.hpp>

namespace Witness {

using Membership::Member;

// A witness that does not answer within this time is passed over; its record is not lost but may exist twice.
static constexpr std::chrono::milliseconds tryLimit(250);
static constexpr size_t maxTries = 3;

static Core::Deadline limited(Core::Deadline deadline)
{
    return std::min(deadline, Core::Deadline::after(tryLimit));
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

// Opens the record at one daemon. Existing fills the result.
Core::Task<WitnessClient::Step> WitnessClient::tryOpen(
    Owned& own, std::optional<OpenResult>& result, Member member, bool joins, Core::Deadline deadline, Core::Reason& reason)
{
    std::vector<Record> records { own.record };
    std::optional<std::vector<OpenAnswer>> answers = co_await m_calls->open(member, std::move(records), joins, limited(deadline), reason);
    if (!answers) {
        if (mayHaveArrived(reason))
            own.holdings.push_back({ member, false });
        co_return Step::Failed;
    }
    OpenAnswer& answer = answers->front();
    switch (answer.status) {
    case OpenStatus::Stored:
        own.holdings.push_back({ member, true });
        co_return Step::Stored;
    case OpenStatus::Existing:
        if (answer.existing)
            result = adopt(own, *answer.existing, member);
        co_return answer.existing ? Step::Existing : Step::Failed;
    case OpenStatus::Full:
    case OpenStatus::Draining:
        break;
    }
    const char* message = answer.status == OpenStatus::Full ? "the witness's memory for records is full" : "the witness is draining";
    reason = { Core::FailureKind::Refused, "open record", member.host, message };
    co_return Step::Failed;
}

// Opens the record at the first of the daemons outside this failure domain that takes it.
Core::Task<WitnessClient::Step> WitnessClient::openAtOutsiders(
    Owned& own, std::optional<OpenResult>& result, std::vector<Member> members, bool joins, Core::Deadline deadline, Core::Reason& reason)
{
    size_t tries = 0;
    for (const Member& member : members) {
        bool isTried = std::ranges::any_of(own.holdings, [&member](const Holding& holding) { return holding.witness.host == member.host; });
        if (!isOutside(member) || isTried)
            continue;
        if (tries++ == maxTries || deadline.hasPassed())
            break;
        Step step = co_await tryOpen(own, result, member, joins, deadline, reason);
        if (step != Step::Failed)
            co_return step;
    }
    co_return Step::Failed;
}

// The first daemon in the order decides between concurrent attempts of one request, because every attempt is opened
// there first and its store does that in one step. The second candidate is asked for attempts that were opened while
// the first could not be reached or that the first has forgotten.
Core::Task<WitnessClient::Step> WitnessClient::claimAtFirst(
    Owned& own, std::optional<OpenResult>& result, Member first, std::optional<Member> second, Core::Deadline deadline, Core::Reason& reason)
{
    if (!second)
        co_return co_await tryOpen(own, result, first, true, deadline, reason);
    Step step = Step::Failed;
    if (isOutside(first)) {
        using namespace boost::asio::experimental::awaitable_operators;
        std::optional<Record> found;
        std::tie(step, found) = co_await (tryOpen(own, result, first, true, deadline, reason)
            && findAt(*second, own.record, deadline));
        if (found)
            result = adopt(own, *found, *second);
        co_return found ? Step::Existing : step;
    }
    step = co_await tryOpen(own, result, first, true, deadline, reason);
    // The second candidate may keep the attempt too; it must know the joiner, or it would settle the attempt at the
    // deadline of the first owner. A new record is opened there next.
    if (step == Step::Existing) {
        std::optional<Record> found = co_await findAt(*second, own.record, deadline);
        if (found)
            adopt(own, *found, *second);
    }
    co_return step;
}

// Joins an attempt of the same request that the daemon keeps.
Core::Task<std::optional<Record>> WitnessClient::findAt(Member member, Record own, Core::Deadline deadline)
{
    Core::Reason ignored;
    std::optional<LookupReply> reply = co_await m_calls->lookup(member, own.requestId, own.deadline, limited(deadline), ignored);
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
        // The first daemon in the order, and the first outside its failure domain.
        if (member.failureDomain == askedDomain)
            continue;
        Core::Reason ignored;
        std::optional<LookupReply> reply = co_await m_calls->lookup(member, requestId, joinUntil, limited(deadline), ignored);
        if (reply && reply->record)
            found = reply->record;
        if (found || !askedDomain.empty())
            break;
        askedDomain = member.failureDomain;
    }
    co_return found;
}

// Takes part in an attempt that was opened before, and gives up the own one.
OpenResult WitnessClient::adopt(Owned& own, const Record& existing, const Member& witness)
{
    if (existing.attemptId != own.record.attemptId)
        withdraw(own);
    Record joined = existing;
    joined.deadline = own.record.deadline;
    m_owned.try_emplace(existing.attemptId, Owned { joined, {} });
    addHolding(existing.attemptId, { witness, true });
    return { existing, witness.host };
}

void WitnessClient::withdraw(const Owned& own)
{
    for (const Holding& holding : own.holdings)
        m_calls->flushed(holding.witness, { own.record.attemptId });
}

Core::Task<std::optional<OpenResult>> WitnessClient::open(Record record, Core::Deadline deadline, Core::Reason& reason, IdentityKind kind)
{
    reason = { Core::FailureKind::Unavailable, "open record", "witness", "no daemon of another failure domain is known" };
    std::vector<Member> members = candidates(record.requestId);
    Owned own { std::move(record), {} };
    std::optional<OpenResult> result;
    bool joins = kind == IdentityKind::IdempotencyKey;
    Step step = Step::Failed;
    if (joins && !members.empty()) {
        auto second = std::ranges::find_if(members, [&members](const Member& member) { return member.failureDomain != members.front().failureDomain; });
        std::optional<Member> secondMember = second == members.end() ? std::nullopt : std::optional<Member>(*second);
        step = co_await claimAtFirst(own, result, members.front(), secondMember, deadline, reason);
        // Retries ask no other daemon, so that the second candidate decides while the first cannot be reached.
        if (step == Step::Failed && secondMember)
            step = co_await tryOpen(own, result, *secondMember, true, deadline, reason);
        // A copy in the own failure domain decides between attempts, but does not survive the domain.
        bool isCopiedOutside = std::ranges::any_of(own.holdings, [this](const Holding& holding) { return holding.isAcknowledged && isOutside(holding.witness); });
        if (step == Step::Stored && !isCopiedOutside)
            step = Step::Failed;
    }
    if (step == Step::Failed)
        step = co_await openAtOutsiders(own, result, std::move(members), joins, deadline, reason);
    if (step == Step::Existing)
        co_return result;
    if (step == Step::Failed) {
        withdraw(own);
        co_return std::nullopt;
    }
    std::string attemptId = own.record.attemptId;
    std::string witness = own.holdings.back().witness.host;
    m_owned.insert_or_assign(attemptId, std::move(own));
    co_return OpenResult { std::nullopt, witness };
}

void WitnessClient::flushed(const std::vector<std::string>& attemptIds)
{
    std::map<std::string, std::pair<Member, std::vector<std::string>>> byWitness;
    for (const std::string& attemptId : attemptIds) {
        auto position = m_owned.find(attemptId);
        if (position == m_owned.end())
            continue;
        for (const Holding& holding : position->second.holdings) {
            auto& [witness, ids] = byWitness[holding.witness.host];
            witness = holding.witness;
            ids.push_back(attemptId);
        }
        m_owned.erase(position);
    }
    for (const auto& [host, entry] : byWitness)
        m_calls->flushed(entry.first, entry.second);
}

Core::Task<bool> WitnessClient::isJoined(std::string attemptId, Core::Deadline deadline)
{
    auto position = m_owned.find(attemptId);
    if (position == m_owned.end())
        co_return false;
    Owned owned = position->second;
    for (const Holding& holding : owned.holdings) {
        Core::Reason ignored;
        Core::Deadline passed(Core::SteadyClock::now());
        std::optional<LookupReply> reply = co_await m_calls->lookup(holding.witness, owned.record.requestId, passed, limited(deadline), ignored);
        if (reply && reply->record && reply->record->attemptId == attemptId && reply->joiners > 0)
            co_return true;
    }
    co_return false;
}

void WitnessClient::addHolding(const std::string& attemptId, const Holding& added)
{
    auto position = m_owned.find(attemptId);
    if (position == m_owned.end())
        return;
    for (Holding& holding : position->second.holdings) {
        if (holding.witness.host != added.witness.host)
            continue;
        holding = added;
        return;
    }
    position->second.holdings.push_back(added);
}

std::vector<Record> WitnessClient::unflushed() const
{
    std::vector<Record> records;
    for (const auto& [attemptId, owned] : m_owned)
        records.push_back(owned.record);
    return records;
}

}
