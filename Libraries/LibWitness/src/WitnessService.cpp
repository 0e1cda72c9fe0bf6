#include "LibWitness/WitnessService.h"

#include "Events.h"
#include "Messages.h"

namespace Witness {

static std::optional<std::string> refuse(const std::string& step, Core::Reason& reason)
{
    reason = { Core::FailureKind::Invalid, step, "caller", "the body is malformed" };
    return std::nullopt;
}

static Ledger::Holder holderOf(const Peer::Identity& identity)
{
    return { identity.host, identity.incarnation };
}

WitnessService::WitnessService(Peer::Network& network, RecordStore& store)
    : m_store(store)
{
    using Answer = Core::Task<std::optional<std::string>>;
    network.onCall("open", [this](Peer::Identity from, std::string body, Core::Reason& reason) -> Answer {
        co_return open(from, body, reason);
    });
    network.onCall("close", [this](Peer::Identity, std::string body, Core::Reason& reason) -> Answer {
        co_return close(body, reason);
    });
    network.onCall("lookup", [this](Peer::Identity from, std::string body, Core::Reason& reason) -> Answer {
        co_return lookup(from, body, reason);
    });
    network.onCall("recordsOf", [this](Peer::Identity, std::string body, Core::Reason& reason) -> Answer {
        co_return recordsOf(body, reason);
    });
    network.onNotice("flushed", [this](const Peer::Identity& from, const std::string& body) { flushed(from, body); });
}

std::optional<std::string> WitnessService::open(const Peer::Identity& from, const std::string& body, Core::Reason& reason)
{
    std::optional<OpenRequest> request = decodeOpenRequest(body);
    if (!request)
        return refuse("open record", reason);
    OpenReply reply;
    for (const Record& record : request->records)
        reply.answers.push_back(m_store.open(record, request->joins, holderOf(from)));
    return encodeMessage(reply);
}

std::optional<std::string> WitnessService::close(const std::string& body, Core::Reason& reason)
{
    std::optional<CloseRequest> request = decodeCloseRequest(body);
    if (!request)
        return refuse("close record", reason);
    return encodeMessage(CloseReply { m_store.close(request->attemptId, request->usage) });
}

std::optional<std::string> WitnessService::lookup(const Peer::Identity& from, const std::string& body, Core::Reason& reason)
{
    std::optional<LookupRequest> request = decodeLookupRequest(body);
    if (!request)
        return refuse("look up record", reason);
    std::optional<KeptRecord> kept = m_store.findRequest(request->requestId);
    if (!kept)
        return encodeMessage(LookupReply {});
    if (request->joinMs > 0)
        m_store.join(kept->record.attemptId, { holderOf(from), Core::Deadline::after(std::chrono::milliseconds(request->joinMs)) });
    return encodeMessage(LookupReply { kept->record, static_cast<int64_t>(kept->joiners.size()) });
}

std::optional<std::string> WitnessService::recordsOf(const std::string& body, Core::Reason& reason)
{
    std::optional<RecordsOfRequest> request = decodeRecordsOfRequest(body);
    if (!request)
        return refuse("list records", reason);
    return encodeRecords(m_store.recordsOf(request->holder));
}

void WitnessService::flushed(const Peer::Identity& from, const std::string& body)
{
    std::optional<FlushedNotice> notice = decodeFlushedNotice(body);
    if (!notice) {
        Core::logEvent(malformedNotice, "flushed from " + from.host);
        return;
    }
    m_store.flushed(notice->attemptIds);
}

Core::Task<std::optional<std::vector<Record>>> fetchRecordsOf(
    Peer::Network& network, Core::Address address, Ledger::Holder holder, Core::Deadline deadline, Core::Reason& reason)
{
    std::string peer = address.text();
    std::optional<std::string> body = co_await network.call(address, "recordsOf", encodeMessage(RecordsOfRequest { holder }), deadline, reason);
    if (!body)
        co_return std::nullopt;
    std::optional<std::vector<Record>> records = decodeRecords(*body);
    if (!records)
        reason = { Core::FailureKind::Invalid, "list records", peer, "the answer is malformed" };
    co_return records;
}

}
