#include "WitnessCalls.h"

namespace Witness {

static std::nullopt_t malformedReply(const std::string& step, const Membership::Member& member, Core::Reason& reason)
{
    reason = { Core::FailureKind::OutcomeUnknown, step, member.host, "the reply is malformed" };
    return std::nullopt;
}

WitnessCalls::WitnessCalls(Peer::Network& network, RecordStore& local, Ledger::Holder self)
    : m_network(network)
    , m_local(local)
    , m_self(std::move(self))
{
}

Core::Task<std::optional<std::vector<RecordOpenResult>>> WitnessCalls::open(
    Membership::Member member, std::vector<Record> records, bool joinExisting, Core::Deadline deadline, Core::Reason& reason)
{
    if (isSelf(member)) {
        std::vector<RecordOpenResult> results;
        for (const Record& record : records)
            results.push_back(m_local.open(record, joinExisting, m_self));
        co_return results;
    }
    size_t expected = records.size();
    std::string request = encodeMessage(OpenRequest { joinExisting, std::move(records) });
    std::optional<std::string> body = co_await m_network.call(member.peerAddress, "open", std::move(request), deadline, reason);
    if (!body)
        co_return std::nullopt;
    std::optional<OpenReply> reply = decodeOpenReply(*body);
    if (!reply || reply->results.size() != expected)
        co_return malformedReply("open record", member, reason);
    co_return std::move(reply->results);
}

Core::Task<std::optional<CloseReply>> WitnessCalls::close(
    Membership::Member member, std::string attemptId, Ledger::Usage usage, Core::Deadline deadline, Core::Reason& reason)
{
    if (isSelf(member))
        co_return CloseReply { m_local.close(attemptId, usage) };
    std::string request = encodeMessage(CloseRequest { std::move(attemptId), std::move(usage) });
    std::optional<std::string> body = co_await m_network.call(member.peerAddress, "close", std::move(request), deadline, reason);
    if (!body)
        co_return std::nullopt;
    std::optional<CloseReply> reply = decodeCloseReply(*body);
    if (!reply)
        co_return malformedReply("close record", member, reason);
    co_return reply;
}

Core::Task<std::optional<LookupReply>> WitnessCalls::lookup(
    Membership::Member member, std::string requestId, Core::Deadline joinUntil, Core::Deadline deadline, Core::Reason& reason)
{
    if (isSelf(member)) {
        std::optional<StoredRecord> stored = m_local.findRequest(requestId);
        if (!stored)
            co_return LookupReply {};
        if (!joinUntil.hasPassed())
            m_local.join(stored->record.attemptId, { m_self, joinUntil });
        co_return LookupReply { stored->record, static_cast<int64_t>(stored->joiners.size()) };
    }
    std::string request = encodeMessage(LookupRequest { std::move(requestId), joinUntil.remaining().count() });
    std::optional<std::string> body = co_await m_network.call(member.peerAddress, "lookup", std::move(request), deadline, reason);
    if (!body)
        co_return std::nullopt;
    std::optional<LookupReply> reply = decodeLookupReply(*body);
    if (!reply)
        co_return malformedReply("look up record", member, reason);
    co_return reply;
}

void WitnessCalls::notifyFlushed(const Membership::Member& member, const std::vector<std::string>& attemptIds)
{
    if (isSelf(member)) {
        m_local.markFlushed(attemptIds);
        return;
    }
    // Keeps a message well below the size limit of a frame.
    static constexpr size_t batchSize = 10000;
    for (size_t start = 0; start < attemptIds.size(); start += batchSize) {
        size_t end = std::min(start + batchSize, attemptIds.size());
        FlushedNotice notice { std::vector<std::string>(attemptIds.begin() + static_cast<ptrdiff_t>(start), attemptIds.begin() + static_cast<ptrdiff_t>(end)) };
        m_network.notify(member.peerAddress, "flushed", encodeMessage(notice));
    }
}

}
