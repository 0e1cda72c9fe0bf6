#include "LedgerGateway.h"

#include <algorithm>
#include <charconv>

// Must leave time for a local submission after a peer has timed out.
static constexpr std::chrono::milliseconds peerTimeout(1500);

// Daemons tried as writers before a submission fails.
static constexpr size_t maxWritersTried = 3;

static const char* const submitType = "ledgerSubmit";

LedgerGateway::LedgerGateway(std::string selfHost, Peer::Network& network, Ledger::Submit submitLocally, LiveMembers liveMembers)
    : m_selfHost(std::move(selfHost))
    , m_network(network)
    , m_submitLocally(std::move(submitLocally))
    , m_liveMembers(std::move(liveMembers))
{
}

// The body of a submission is the shard number and the encoded entries, separated by a newline.
static std::string encodeSubmission(uint32_t shard, const std::vector<Ledger::Entry>& entries)
{
    return std::to_string(shard) + "\n" + Ledger::encodeEntries(entries);
}

static std::optional<std::vector<Ledger::Entry>> decodeSubmission(const std::string& body, uint32_t& shard)
{
    const char* end = body.data() + body.size();
    std::from_chars_result parsed = std::from_chars(body.data(), end, shard);
    if (parsed.ec != std::errc() || parsed.ptr == end || *parsed.ptr != '\n')
        return std::nullopt;
    return Ledger::decodeEntries(std::string(parsed.ptr + 1, end));
}

void LedgerGateway::serve()
{
    m_network.onCall(submitType, [this](Peer::Identity from, std::string body, Core::Reason& reason) -> Core::Task<std::optional<std::string>> {
        uint32_t shard = 0;
        std::optional<std::vector<Ledger::Entry>> entries = decodeSubmission(body, shard);
        if (!entries) {
            reason = { Core::FailureKind::Invalid, "decode ledger entries", from.host, "malformed submission" };
            co_return std::nullopt;
        }
        std::optional<std::vector<Ledger::EntryResult>> results
            = co_await m_submitLocally(shard, std::move(*entries), Core::Deadline::after(peerTimeout), reason);
        if (!results)
            co_return std::nullopt;
        co_return Ledger::encodeResults(*results);
    });
}

std::vector<Membership::Member> LedgerGateway::writerOrder(uint32_t shard) const
{
    return Membership::rendezvousOrder("shard-" + std::to_string(shard), m_liveMembers());
}

bool LedgerGateway::isWriter(uint32_t shard) const
{
    std::vector<Membership::Member> order = writerOrder(shard);
    return order.empty() || order.front().host == m_selfHost;
}

Core::Task<std::optional<std::vector<Ledger::EntryResult>>> LedgerGateway::submitToPeer(const Membership::Member& writer, uint32_t shard,
    const std::vector<Ledger::Entry>& entries, Core::Deadline deadline, Core::Reason& reason)
{
    Core::Deadline peerDeadline = std::min(deadline, Core::Deadline::after(peerTimeout));
    std::optional<std::string> reply
        = co_await m_network.call(writer.peerAddress, submitType, encodeSubmission(shard, entries), peerDeadline, reason);
    if (!reply)
        co_return std::nullopt;
    std::optional<std::vector<Ledger::EntryResult>> results = Ledger::decodeResults(*reply);
    if (!results || results->size() != entries.size()) {
        reason = { Core::FailureKind::OutcomeUnknown, "decode ledger results", writer.host, "malformed results or unexpected number of results" };
        co_return std::nullopt;
    }
    co_return results;
}

Core::Task<std::optional<std::vector<Ledger::EntryResult>>> LedgerGateway::submit(
    uint32_t shard, std::vector<Ledger::Entry> entries, Core::Deadline deadline, Core::Reason& reason)
{
    // Falls back to the next daemons in the order, since this daemon or the writer may be partitioned from the platform.
    std::vector<Membership::Member> order = writerOrder(shard);
    if (order.size() > maxWritersTried)
        order.resize(maxWritersTried);
    bool triedSelf = false;
    for (const Membership::Member& writer : order) {
        bool isSelf = writer.host == m_selfHost;
        triedSelf = triedSelf || isSelf;
        std::optional<std::vector<Ledger::EntryResult>> results = isSelf
            ? co_await m_submitLocally(shard, entries, std::min(deadline, Core::Deadline::after(peerTimeout)), reason)
            : co_await submitToPeer(writer, shard, entries, deadline, reason);
        if (results)
            co_return results;
        if (deadline.hasPassed())
            co_return std::nullopt;
    }
    if (triedSelf)
        co_return std::nullopt;
    co_return co_await m_submitLocally(shard, std::move(entries), deadline, reason);
}
