#include "LibWitness/WitnessService.h"

#include "Events.h"
#include "Messages.h"

namespace Witness {

static std::optional<std::string> rejectMalformed(const std::string& step, Core::Reason& reason)
{
    reason = { Core::FailureKind::Invalid, step, "caller", "the request body is malformed" };
    return std::nullopt;
}

static Ledger::Holder holderOf(const Peer::Identity& identity)
{
    return { identity.host, identity.incarnation };
}

WitnessService::WitnessService(Peer::Network& network, RecordStore& store)
    : m_store(store)
{
    using Reply = Core::Task<std::optional<std::string>>;
    network.onCall("open", [this](Peer::Identity from, std::string body, Core::Reason& reason) -> Reply {
        co_return handleOpen(from, body, reason);
    });
    network.onCall("close", [this](Peer::Identity, std::string body, Core::Reason& reason) -> Reply {
        co_return handleClose(body, reason);
    });
    network.onCall("lookup", [this](Peer::Identity from, std::string body, Core::Reason& reason) -> Reply {
        co_return handleLookup(from, body, reason);
    });
    network.onCall("recordsOf", [this](Peer::Identity, std::string body, Core::Reason& reason) -> Reply {
        co_return handleRecordsOf(body, reason);
    });
    network.onNotice("flushed", [this](const Peer::Identity& from, const std::string& body) { handleFlushed(from, body); });
}

std::optional<std::string> WitnessService::handleOpen(const Peer::Identity& from, const std::string& body, Core::Reason& reason)
{
    std::optional<OpenRequest> request = decodeOpenRequest(body);
    if (!request)
        return rejectMalformed("open record", reason);
    OpenReply reply;
    for (const Record& record : request->records)
        reply.results.push_back(m_store.open(record, request->joinExisting, holderOf(from)));
    return encodeMessage(reply);
}

std::optional<std::string> WitnessService::handleClose(const std::string& body, Core::Reason& reason)
{
    std::optional<CloseRequest> request = decodeCloseRequest(body);
    if (!request)
        return rejectMalformed("close record", reason);
    return encodeMessage(CloseReply { m_store.close(request->attemptId, request->usage) });
}

std::optional<std::string> WitnessService::handleLookup(const Peer::Identity& from, const std::string& body, Core::Reason& reason)
{
    std::optional<LookupRequest> request = decodeLookupRequest(body);
    if (!request)
        return rejectMalformed("look up record", reason);
    std::optional<StoredRecord> stored = m_store.findRequest(request->requestId);
    if (!stored)
        return encodeMessage(LookupReply {});
    if (request->joinMs > 0)
        m_store.join(stored->record.attemptId, { holderOf(from), Core::Deadline::after(std::chrono::milliseconds(request->joinMs)) });
    return encodeMessage(LookupReply { stored->record, static_cast<int64_t>(stored->joiners.size()) });
}

std::optional<std::string> WitnessService::handleRecordsOf(const std::string& body, Core::Reason& reason)
{
    std::optional<RecordsOfRequest> request = decodeRecordsOfRequest(body);
    if (!request)
        return rejectMalformed("list records", reason);
    return encodeRecords(m_store.recordsOf(request->holder));
}

void WitnessService::handleFlushed(const Peer::Identity& from, const std::string& body)
{
    std::optional<FlushedNotice> notice = decodeFlushedNotice(body);
    if (!notice) {
        Core::logEvent(malformedNotice, "flushed notice from " + from.host);
        return;
    }
    m_store.markFlushed(notice->attemptIds);
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
        reason = { Core::FailureKind::Invalid, "list records", peer, "the reply is malformed" };
    co_return records;
}

}
